//! The format of the endpoints file: every value of a recorded file is read.

use super::golden;
use milletturn_engine::ListedEndpoint;
use milletturn_policy::EndpointStatus;
use milletturn_sidecar::endpoints;

#[test]
fn every_value_of_the_recorded_endpoints_file_is_read() {
    let listed = |name: &str, address: &str, destination, status, weight| ListedEndpoint {
        uid: name.to_string(),
        address: address.parse().expect("a valid address"),
        zone: String::new(),
        kind: "1".to_string(),
        destination,
        status,
        weight,
    };
    let path = golden("endpoints.toml");
    assert!(endpoints::is_list(
        &std::fs::read_to_string(&path).expect("the golden file is readable")
    ));
    let expected = [
        listed(
            "11/127.0.0.1:9004",
            "127.0.0.1:9004",
            11,
            EndpointStatus::Serving,
            0.0,
        ),
        listed(
            "12/127.0.0.1:9005",
            "127.0.0.1:9005",
            12,
            EndpointStatus::Serving,
            12.5,
        ),
        listed(
            "12/[::1]:9006",
            "[::1]:9006",
            12,
            EndpointStatus::Serving,
            12.5,
        ),
        listed(
            "12/127.0.0.1:9007",
            "127.0.0.1:9007",
            12,
            EndpointStatus::Draining,
            12.5,
        ),
    ];
    let found = endpoints::read(&path).expect("a valid endpoints file");
    // compared by their debug texts, since `ListedEndpoint` does not implement `PartialEq`
    assert_eq!(found.len(), expected.len());
    for (found, expected) in found.iter().zip(&expected) {
        assert_eq!(format!("{found:?}"), format!("{expected:?}"));
    }
}
