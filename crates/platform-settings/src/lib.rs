//! The platform's names of the settings. Real senders read them from nested JSON, the simulator adapter from a line
//! of its wire protocol; both end up here, so that each name is in one place.

use milletturn_policy::{
    Class, DestinationKind, Effect, Micros, SECOND, Safety, Settings, SettingsError, Tenant,
    ValueDecay,
};
use std::collections::BTreeMap;

fn to_micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// Settings as text by their paths, such as `caps.maxOpen`: of a `begin` line, or of a real sender's configuration.
pub struct RawSettings<'a>(pub BTreeMap<&'a str, &'a str>);

impl RawSettings<'_> {
    /// None where it is missing or empty.
    fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).copied().filter(|text| !text.is_empty())
    }

    /// Items between commas.
    fn list(&self, path: &str) -> Vec<&str> {
        self.text(path)
            .map(|text| text.split(',').collect())
            .unwrap_or_default()
    }

    /// A finite number of zero or more.
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

    /// A duration, which is seconds as text.
    fn duration_or(&self, path: &str, default: Micros) -> Result<Micros, SettingsError> {
        Ok(self.number(path)?.map_or(default, to_micros))
    }

    fn flag(&self, path: &str) -> bool {
        self.text(path) == Some("true")
    }
}

/// What a host needs beside the policy's settings: the names by which it refers to their parts.
#[derive(Debug, Default)]
pub struct SettingNames {
    /// Zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// Classes of message.
    pub classes: Vec<String>,
    /// Kinds of destination.
    pub kinds: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Fields of a load report, in the order in which the policy reads them.
    pub report_fields: Vec<String>,
    /// Limit of the time to connect, in microseconds.
    pub dial_timeout: Micros,
}

/// Position of a name among those of the settings; `usize::MAX` for a name that is not there.
#[must_use]
pub fn position(names: &[String], name: &str) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or(usize::MAX)
}

/// Reads the settings, for the wire and for real senders alike.
///
/// # Errors
/// Names the first setting that is missing or makes no sense.
pub fn read_settings(texts: &RawSettings) -> Result<(Settings, SettingNames), SettingsError> {
    let mut names = SettingNames {
        zones: owned(&texts.list("zones")),
        kinds: owned(&texts.list("machineTypes")),
        report_fields: owned(&texts.list("report.fields")),
        dial_timeout: texts.duration_or("caps.dialTimeout", SECOND)?,
        ..SettingNames::default()
    };
    let mut settings = read_limits(texts, &names)?;
    read_report(texts, &mut settings);
    read_prices(texts, &mut settings)?;
    settings.safety = read_safety(texts, &settings.safety)?;
    for index in 0..texts.required("classes.count")? as usize {
        let class = read_class(texts, index)?;
        names.classes.push(class.name.clone());
        settings.classes.push(class);
    }
    settings.kinds = read_kinds(texts, &names.kinds)?;
    for index in 0..texts.number_or("realms.count", 0.0)? as usize {
        let tenant = read_tenant(texts, index)?;
        names.tenants.push(tenant.name.clone());
        settings.tenants.push(tenant);
    }
    Ok((settings, names))
}

fn owned(list: &[&str]) -> Vec<String> {
    list.iter().map(ToString::to_string).collect()
}

/// Settings with the limits and the abilities of the platform.
fn read_limits(texts: &RawSettings, names: &SettingNames) -> Result<Settings, SettingsError> {
    let slots = texts.required("specifics.callSlots")? as usize;
    let mut settings = Settings::new(slots, texts.required("caps.maxOpen")? as usize);
    settings.senders = texts.required("balancers")? as u32;
    settings.zone = position(&names.zones, texts.text("az").unwrap_or("")) as u16;
    settings.max_attempts = texts.required("caps.mostTries")? as usize;
    settings.hedging_enabled = texts.flag("caps.secondCopies");
    settings.cancellation_enabled = texts.flag("caps.mayCancel");
    settings.probing_enabled = texts.flag("caps.mayProbe");
    settings.gossip_enabled = texts.flag("caps.peers");
    settings.idle_connection_timeout = texts.duration_or("caps.connIdle", 0)?;
    if texts.flag("caps.retryAfter") {
        settings.max_client_retry_after = texts.duration_or("caps.maxRetryAfter", 0)?;
    }
    settings.list_requires_subscription = texts.text("discovery") == Some("on_request");
    settings.weight_trust = match texts.text("weights") {
        Some("nominal") => 1.0,
        Some("rough") => 0.5,
        _ => 0.0,
    };
    Ok(settings)
}

/// Which fields of load reports the policy reads.
fn read_report(texts: &RawSettings, settings: &mut Settings) {
    if texts.text("report.how").is_some_and(|how| how != "silent") {
        let fields = texts.list("report.fields");
        settings.report_remaining_index = fields.iter().position(|&field| field == "x0");
        settings.report_limit_index = fields.iter().position(|&field| field == "x1");
    }
}

/// Prices, and how the worth of a message falls.
fn read_prices(texts: &RawSettings, settings: &mut Settings) -> Result<(), SettingsError> {
    settings.price_cross_zone = texts.number_or("prices.crossZone", 0.0)?;
    settings.price_probe = texts.number_or("prices.probe", 0.0)?;
    settings.price_waste = texts.number_or("prices.waste", 0.0)?;
    settings.over_share_weight = texts.number_or("overShareWorth", 1.0)?;
    for fee in texts.list("specifics.zoneFee") {
        settings.zone_fees.push(
            fee.parse()
                .map_err(|_| SettingsError::new("specifics.zoneFee", "is not a number"))?,
        );
    }
    if texts.text("specifics.fades") == Some("by_half") {
        settings.value_decay = ValueDecay::Halving;
    }
    Ok(())
}

fn read_safety(texts: &RawSettings, default: &Safety) -> Result<Safety, SettingsError> {
    Ok(Safety {
        drain_grace: to_micros(texts.required("safety.stopSendingWithin")?),
        slow_start: to_micros(texts.required("safety.cold")?),
        initial_capacity: texts.required("safety.startCapacity")?,
        overload_multiple: texts.required("safety.fallMultiple")?,
        overload_window: to_micros(texts.required("safety.fall")?),
        response_grace: texts.duration_or("safety.graceToAnswer", default.response_grace)?,
        ordered_key_backoff: texts.duration_or("safety.turnGap", 0)?,
        list_poll_interval: texts.duration_or("safety.askEvery", default.list_poll_interval)?,
    })
}

fn read_class(texts: &RawSettings, index: usize) -> Result<Class, SettingsError> {
    let path = |field: &str| format!("classes.{index}.{field}");
    let name = texts
        .text(&path("name"))
        .ok_or_else(|| SettingsError::new(&path("name"), "is missing"))?;
    let effect = match texts.text(&path("effect")) {
        Some("idempotent") => Effect::Repeatable,
        Some("deduplicated") => Effect::Keyed {
            window: to_micros(texts.required(&path("window"))?),
            zone_only: texts.text(&path("group")) != Some("all"),
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
        latency_objective: to_micros(texts.required(&path("aim"))?),
        deadline: to_micros(texts.required(&path("deadline"))?),
        priority_weight: texts.number_or(&path("worth"), 1.0)?,
        late_value_share: texts.number_or(&path("lateShare"), 0.0)?,
        ordered: texts.flag(&path("oneAtATime")),
    })
}

/// The kinds of destination: lists beside that of their names, in the same order.
fn read_kinds(
    texts: &RawSettings,
    names: &[String],
) -> Result<Vec<DestinationKind>, SettingsError> {
    let separate = texts.list("specifics.routesApart");
    let bundles = texts.list("specifics.bundleMax");
    let mut kinds = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let bundle_max = match bundles.get(index) {
            Some(text) => text
                .parse()
                .map_err(|_| SettingsError::new("specifics.bundleMax", "is not a whole number"))?,
            None => 1,
        };
        kinds.push(DestinationKind {
            name: name.clone(),
            separate_routes: separate.get(index) == Some(&"true"),
            max_batch_size: bundle_max,
        });
    }
    Ok(kinds)
}

fn read_tenant(texts: &RawSettings, index: usize) -> Result<Tenant, SettingsError> {
    let name = texts
        .text(&format!("realms.{index}.name"))
        .unwrap_or("")
        .to_string();
    let allowance = texts.required(&format!("realms.{index}.allowancePerS"))?;
    Ok(Tenant { name, allowance })
}
