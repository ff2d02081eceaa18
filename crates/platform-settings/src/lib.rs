//! Reads the decision module's settings under the names that the platform gives them.
//!
//! Real senders get the settings as nested JSON, the simulator adapter as a line of its protocol. Both convert them
//! to [`RawSettings`], so that this package is the only one that contains the platform's names.

use milletturn_policy::{
    Class, DestinationKind, Effect, Micros, SECOND, Safety, Settings, SettingsError, Tenant,
    ValueDecay,
};
use std::collections::BTreeMap;

fn to_micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// Unparsed settings by their path, such as `caps.maxOpen`. They come from a `begin` line of the simulator's
/// protocol, or from the configuration of a real sender.
pub struct RawSettings<'a>(pub BTreeMap<&'a str, &'a str>);

impl RawSettings<'_> {
    /// The text of a setting; `None` if the setting is missing or empty.
    fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).copied().filter(|text| !text.is_empty())
    }

    /// The items of a comma-separated list; empty if the setting is missing.
    fn list(&self, path: &str) -> Vec<&str> {
        self.text(path)
            .map(|text| text.split(',').collect())
            .unwrap_or_default()
    }

    /// A finite number of zero or more; `None` if the setting is missing.
    fn number(&self, path: &str) -> Result<Option<f64>, SettingsError> {
        let Some(text) = self.text(path) else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(value) if value.is_finite() && value >= 0.0 => Ok(Some(value)),
            _ => Err(SettingsError::new(
                path,
                &format!("is '{text}', not a finite number of zero or more"),
            )),
        }
    }

    fn required(&self, path: &str) -> Result<f64, SettingsError> {
        self.number(path)?
            .ok_or_else(|| SettingsError::new(path, "is missing"))
    }

    fn number_or(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        Ok(self.number(path)?.unwrap_or(default))
    }

    /// A duration, which the setting gives in seconds.
    fn duration_or(&self, path: &str, default: Micros) -> Result<Micros, SettingsError> {
        Ok(self.number(path)?.map_or(default, to_micros))
    }

    fn flag(&self, path: &str) -> bool {
        self.text(path) == Some("true")
    }
}

/// What a program that runs the decision module needs in addition to the settings: the names of the items to which the
/// decision module refers by position, and the time limit for opening a connection.
#[derive(Debug, Default)]
pub struct SettingNames {
    /// Names of the zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// Names of the message classes, by position.
    pub classes: Vec<String>,
    /// Names of the kinds of destination, by position.
    pub kinds: Vec<String>,
    /// Names of the tenants, by position.
    pub tenants: Vec<String>,
    /// Names of the fields of a load report, in the order in which the decision module receives their values.
    pub report_fields: Vec<String>,
    /// The time limit for opening a connection, in microseconds.
    pub dial_timeout: Micros,
}

/// The position of a name in a list; `usize::MAX` for a name that the list does not contain.
#[must_use]
pub fn position(names: &[String], name: &str) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or(usize::MAX)
}

/// Reads the decision module's settings, and the names of the items to which they refer by position.
///
/// # Errors
/// When a setting is missing or invalid; the error names the first such setting.
pub fn read_settings(raw: &RawSettings) -> Result<(Settings, SettingNames), SettingsError> {
    let mut names = SettingNames {
        zones: to_strings(&raw.list("zones")),
        kinds: to_strings(&raw.list("machineTypes")),
        report_fields: to_strings(&raw.list("report.fields")),
        dial_timeout: raw.duration_or("caps.dialTimeout", SECOND)?,
        ..SettingNames::default()
    };
    let mut settings = read_limits(raw, &names)?;
    read_report(raw, &mut settings);
    read_prices(raw, &mut settings)?;
    settings.safety = read_safety(raw, &settings.safety)?;
    for index in 0..raw.required("classes.count")? as usize {
        let class = read_class(raw, index)?;
        names.classes.push(class.name.clone());
        settings.classes.push(class);
    }
    settings.kinds = read_kinds(raw, &names.kinds)?;
    for index in 0..raw.number_or("realms.count", 0.0)? as usize {
        let tenant = read_tenant(raw, index)?;
        names.tenants.push(tenant.name.clone());
        settings.tenants.push(tenant);
    }
    Ok((settings, names))
}

fn to_strings(list: &[&str]) -> Vec<String> {
    list.iter().map(ToString::to_string).collect()
}

/// Creates settings with the platform's limits and with the features that the platform supports.
fn read_limits(raw: &RawSettings, names: &SettingNames) -> Result<Settings, SettingsError> {
    let slots = raw.required("specifics.callSlots")? as usize;
    let mut settings = Settings::new(slots, raw.required("caps.maxOpen")? as usize);
    settings.senders = raw.required("balancers")? as u32;
    settings.zone = position(&names.zones, raw.text("az").unwrap_or("")) as u16;
    settings.max_attempts = raw.required("caps.mostTries")? as usize;
    settings.hedging_enabled = raw.flag("caps.secondCopies");
    settings.cancellation_enabled = raw.flag("caps.mayCancel");
    settings.probing_enabled = raw.flag("caps.mayProbe");
    settings.gossip_enabled = raw.flag("caps.peers");
    settings.idle_connection_timeout = raw.duration_or("caps.connIdle", 0)?;
    if raw.flag("caps.retryAfter") {
        settings.max_client_retry_after = raw.duration_or("caps.maxRetryAfter", 0)?;
    }
    settings.list_requires_subscription = raw.text("discovery") == Some("on_request");
    settings.weight_trust = match raw.text("weights") {
        Some("nominal") => 1.0,
        Some("rough") => 0.5,
        _ => 0.0,
    };
    Ok(settings)
}

/// Finds which fields of load reports hold the remaining share of the limit (`x0`) and the limit (`x1`). With
/// `report.how` missing or `silent`, endpoints send no load reports.
fn read_report(raw: &RawSettings, settings: &mut Settings) {
    if raw.text("report.how").is_some_and(|how| how != "silent") {
        let fields = raw.list("report.fields");
        settings.report_remaining_index = fields.iter().position(|&field| field == "x0");
        settings.report_limit_index = fields.iter().position(|&field| field == "x1");
    }
}

/// Reads the prices, the priority of messages beyond their tenant's allowance, and how the value of a message decays
/// after its latency objective.
fn read_prices(raw: &RawSettings, settings: &mut Settings) -> Result<(), SettingsError> {
    settings.price_cross_zone = raw.number_or("prices.crossZone", 0.0)?;
    settings.price_probe = raw.number_or("prices.probe", 0.0)?;
    settings.price_waste = raw.number_or("prices.waste", 0.0)?;
    settings.over_share_weight = raw.number_or("overShareWorth", 1.0)?;
    for fee in raw.list("specifics.zoneFee") {
        settings.zone_fees.push(
            fee.parse()
                .map_err(|_| SettingsError::new("specifics.zoneFee", "is not a number"))?,
        );
    }
    if raw.text("specifics.fades") == Some("by_half") {
        settings.value_decay = ValueDecay::Halving;
    }
    Ok(())
}

fn read_safety(raw: &RawSettings, default: &Safety) -> Result<Safety, SettingsError> {
    Ok(Safety {
        drain_grace: to_micros(raw.required("safety.stopSendingWithin")?),
        slow_start: to_micros(raw.required("safety.cold")?),
        initial_capacity: raw.required("safety.startCapacity")?,
        overload_multiple: raw.required("safety.fallMultiple")?,
        overload_window: to_micros(raw.required("safety.fall")?),
        response_grace: raw.duration_or("safety.graceToAnswer", default.response_grace)?,
        ordered_key_backoff: raw.duration_or("safety.turnGap", 0)?,
        list_poll_interval: raw.duration_or("safety.askEvery", default.list_poll_interval)?,
    })
}

fn read_class(raw: &RawSettings, index: usize) -> Result<Class, SettingsError> {
    let path = |field: &str| format!("classes.{index}.{field}");
    let name = raw
        .text(&path("name"))
        .ok_or_else(|| SettingsError::new(&path("name"), "is missing"))?;
    let effect = match raw.text(&path("effect")) {
        Some("idempotent") => Effect::Repeatable,
        Some("deduplicated") => Effect::Keyed {
            window: to_micros(raw.required(&path("window"))?),
            zone_only: raw.text(&path("group")) != Some("all"),
        },
        Some("at_most_once") => Effect::Unsafe,
        other => {
            return Err(SettingsError::new(
                &path("effect"),
                &format!("is '{}'", other.unwrap_or("missing")),
            ));
        }
    };
    Ok(Class {
        name: name.to_string(),
        effect,
        latency_objective: to_micros(raw.required(&path("aim"))?),
        deadline: to_micros(raw.required(&path("deadline"))?),
        priority_weight: raw.number_or(&path("worth"), 1.0)?,
        late_value_share: raw.number_or(&path("lateShare"), 0.0)?,
        ordered: raw.flag(&path("oneAtATime")),
    })
}

/// Reads the kinds of destination. Their properties are lists in the same order as the list of names; a missing
/// item means one message per call and no separate routes.
fn read_kinds(raw: &RawSettings, names: &[String]) -> Result<Vec<DestinationKind>, SettingsError> {
    let separate_routes = raw.list("specifics.routesApart");
    let max_batch_sizes = raw.list("specifics.bundleMax");
    let mut kinds = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let max_batch_size = match max_batch_sizes.get(index) {
            Some(text) => text
                .parse()
                .map_err(|_| SettingsError::new("specifics.bundleMax", "is not a whole number"))?,
            None => 1,
        };
        kinds.push(DestinationKind {
            name: name.clone(),
            separate_routes: separate_routes.get(index) == Some(&"true"),
            max_batch_size,
        });
    }
    Ok(kinds)
}

fn read_tenant(raw: &RawSettings, index: usize) -> Result<Tenant, SettingsError> {
    let name = raw
        .text(&format!("realms.{index}.name"))
        .unwrap_or("")
        .to_string();
    let allowance = raw.required(&format!("realms.{index}.allowancePerS"))?;
    Ok(Tenant { name, allowance })
}
