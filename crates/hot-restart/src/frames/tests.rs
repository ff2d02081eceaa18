use super::*;

#[tokio::test]
async fn truncated_oversized_and_undecodable_frames_are_errors() {
    let mut bytes = Vec::new();
    let frame = ToNewProcess::ClientDisconnected("m1".to_string());
    write_frame(&mut bytes, &frame).await.expect("written");
    assert_eq!(
        read_frame::<ToNewProcess>(&mut &bytes[..], MAX_FRAME_BYTES)
            .await
            .expect("read"),
        frame
    );
    for cut in 0..bytes.len() {
        assert!(
            read_frame::<ToNewProcess>(&mut &bytes[..cut], MAX_FRAME_BYTES)
                .await
                .is_err(),
            "{cut}"
        );
    }
    assert!(matches!(
        read_frame::<ToNewProcess>(&mut &b"\xff\xff\xff\xff"[..], MAX_FRAME_BYTES).await,
        Err(HotRestartError::FrameTooLong(_))
    ));
    assert!(
        read_frame::<ToNewProcess>(&mut &b"\x02\0\0\0\x77\x77"[..], MAX_FRAME_BYTES)
            .await
            .is_err()
    );
}
