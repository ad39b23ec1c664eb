//! Names, units and defaults of the settings file's fields, as written by the platform.

use fleet_core::settings::{Bounds, PortRange, Settings, SettingsError};
use std::time::Duration;

const REQUIRED: &str = "nodeName=n1\nip=10.0.0.1\nzone=z1\nportRange=7640,7655\n";

const ALL: &str = "\
nodeName=n1
role=router
ip=10.0.0.1
zone=z1
region=r1
zones.z2=r2
zones.z1=r1
bindAddrs.frontHttp=10.0.0.1:8167
bindAddrs.readiness=10.0.0.1:8162
bindAddrs.control=10.0.0.1:8169
portRange=7640,7655
seeds=10.0.0.1:8169, 10.0.0.2:8169
bootstrap=true
counted=true
dataDir=/data/x
heartbeatMs=1200
limits.cores=2
limits.maxFds=4100
tolerance.machines=2
tolerance.zones=3
tolerance.regions=4
bounds.drainMs=2001
bounds.graceS=9
bounds.applyMs=2002
bounds.leaseMs=3001
bounds.versionMs=8001
bounds.contactMs=3002
bounds.catchUpS=5
bounds.retryRatio=0.2
bounds.retryWindowS=11
bounds.retrySlack=58
";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn every_field_is_parsed_with_its_name_and_unit() {
    let expected = Settings {
        node_name: "n1".into(),
        role: "router".into(),
        ip: "10.0.0.1".parse().unwrap(),
        zone: "z1".into(),
        region: "r1".into(),
        zones: vec![("z1".into(), "r1".into()), ("z2".into(), "r2".into())],
        front_addr: Some("10.0.0.1:8167".parse().unwrap()),
        readiness_addr: Some("10.0.0.1:8162".parse().unwrap()),
        control_addr: Some("10.0.0.1:8169".parse().unwrap()),
        ports: PortRange { first: 7640, last: 7655 },
        seeds: vec!["10.0.0.1:8169".parse().unwrap(), "10.0.0.2:8169".parse().unwrap()],
        bootstrap: true,
        counted: true,
        data_dir: Some("/data/x".into()),
        heartbeat: ms(1200),
        cores: 2,
        max_fds: 4100,
        tolerated_machine_losses: 2,
        tolerated_zone_losses: 3,
        tolerated_region_losses: 4,
        bounds: Bounds {
            drain: ms(2001),
            grace: ms(9000),
            apply: ms(2002),
            lease: ms(3001),
            version: ms(8001),
            contact: ms(3002),
            catch_up: ms(5000),
            retry_ratio: 0.2,
            retry_window: ms(11_000),
            retry_slack: 58.0,
        },
    };
    assert_eq!(Settings::parse(ALL).unwrap(), expected);
}

#[test]
fn missing_fields_have_defaults() {
    let expected = Settings {
        node_name: "n1".into(),
        role: String::new(),
        ip: "10.0.0.1".parse().unwrap(),
        zone: "z1".into(),
        region: String::new(),
        zones: Vec::new(),
        front_addr: None,
        readiness_addr: None,
        control_addr: None,
        ports: PortRange { first: 7640, last: 7655 },
        seeds: Vec::new(),
        bootstrap: false,
        counted: false,
        data_dir: None,
        heartbeat: ms(1000),
        cores: 1,
        max_fds: 1024,
        tolerated_machine_losses: 1,
        tolerated_zone_losses: 0,
        tolerated_region_losses: 0,
        bounds: Bounds {
            drain: ms(2000),
            grace: ms(8000),
            apply: ms(2000),
            lease: ms(3000),
            version: ms(8000),
            contact: ms(3000),
            catch_up: ms(4000),
            retry_ratio: 0.0,
            retry_window: ms(10_000),
            retry_slack: 0.0,
        },
    };
    assert_eq!(Settings::parse(REQUIRED).unwrap(), expected);
}

#[test]
fn missing_required_fields_are_reported() {
    for field in ["nodeName", "ip", "zone", "portRange"] {
        let without: String = REQUIRED
            .lines()
            .filter(|line| !line.starts_with(field))
            .map(|line| format!("{line}\n"))
            .collect();
        assert_eq!(Settings::parse(&without), Err(SettingsError::Missing { field }), "{field}");
    }
}
