//! Validation of references between configuration parts.

use crate::ClusterConfig;
use crate::ConfigError;

/// Checks that every name that a part refers to is defined in another part.
pub(crate) fn check(config: &ClusterConfig) -> Result<(), ConfigError> {
    check_preset(config)?;
    check_backends(config)?;
    check_accounts(config)?;
    for (name, preset) in &config.presets {
        let file = format!("preset-{name}");
        for service in preset.models.keys() {
            if config.services.contains_key(service) {
                continue;
            }
            return Err(ConfigError::new(
                &file,
                "models",
                service,
                "no such service",
                "name a service of the services part",
            ));
        }
        for region in preset.guest_shares.keys() {
            if config.topology.regions.contains_key(region) {
                continue;
            }
            return Err(ConfigError::new(
                &file,
                "guests",
                region,
                "no such region",
                "name a region of the topology part",
            ));
        }
    }
    for service in config.prices.keys() {
        if config.services.contains_key(service) {
            continue;
        }
        return Err(ConfigError::new(
            "prices",
            &format!("price {service}"),
            "-",
            "no such service",
            "name a service of the services part",
        ));
    }
    Ok(())
}

fn check_preset(config: &ClusterConfig) -> Result<(), ConfigError> {
    if config.presets.contains_key(&config.preset_name) {
        return Ok(());
    }
    let names: Vec<&str> = config.presets.keys().map(|name| &**name).collect();
    let problem = format!("no preset `{}`", config.preset_name);
    Err(ConfigError::new(
        "head",
        "-",
        "preset",
        &problem,
        &format!("the presets are: {}", names.join(", ")),
    ))
}

fn check_backends(config: &ClusterConfig) -> Result<(), ConfigError> {
    for (name, backend) in &config.backends {
        if !config.services.contains_key(&backend.service) {
            let problem = format!("no service `{}`", backend.service);
            return Err(ConfigError::new(
                "backends",
                &format!("backend {name}"),
                "service",
                &problem,
                "name a service of the services part",
            ));
        }
        if config.topology.region_of(&backend.data_centre).is_some() {
            continue;
        }
        let problem = format!("no data centre `{}`", backend.data_centre);
        return Err(ConfigError::new(
            "backends",
            &format!("backend {name}"),
            "data_centre",
            &problem,
            "name a data centre of the topology part",
        ));
    }
    Ok(())
}

fn check_accounts(config: &ClusterConfig) -> Result<(), ConfigError> {
    for (name, account) in &config.accounts.accounts {
        let section = format!("account {name}");
        if !config.topology.regions.contains_key(&account.home) {
            let problem = format!("no region `{}`", account.home);
            return Err(ConfigError::new(
                "accounts",
                &section,
                "home",
                &problem,
                "name a region of the topology part",
            ));
        }
        for (preset_name, preset) in &config.presets {
            if preset.classes.contains_key(&account.class) {
                continue;
            }
            let problem = format!("preset `{preset_name}` has no class `{}`", account.class);
            return Err(ConfigError::new(
                "accounts",
                &section,
                "class",
                &problem,
                "add the class to [classes] of every preset",
            ));
        }
    }
    Ok(())
}
