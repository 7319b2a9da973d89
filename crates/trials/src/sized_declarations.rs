//! Builds declarations and memberships of any size, for measurements.

use crate::fleet_config::{Backend, FleetConfig, MODEL};
use declarations::{Declarations, Team, hash_key};
use policy::{Member, Members};
use std::net::{Ipv4Addr, SocketAddr};

/// Adds teams, each with one key, until there are `count`.
pub fn with_teams(mut declared: Declarations, count: usize) -> Declarations {
    for number in declared.teams.len()..count {
        declared.teams.push(Team {
            name: format!("team-{number:05}").into(),
            key_hashes: vec![hash_key(&format!("key-{number}"))],
            weight: 100,
            tokens_per_second: Some(100_000),
        });
    }
    declared
}

/// Adds engines, spread over the declared failure domains, until there are `count` backend servers.
pub fn with_servers(mut declared: Declarations, count: usize) -> Declarations {
    for number in declared.servers.len()..count {
        let domain = declared.domains[number % declared.domains.len()]
            .name
            .clone();
        let backend = Backend::engine(&format!("server-{number:04}"), &domain);
        declared.servers.push(backend.server);
    }
    declared
}

/// Builds declarations with this many backend servers and teams; no fleet runs behind them.
pub fn build_declarations(servers: usize, teams: usize) -> Declarations {
    let mut declared = FleetConfig::small().base_declarations;
    declared.models[0].name = MODEL.into();
    with_teams(with_servers(declared, servers), teams)
}

/// Builds a membership with one agent for each declared backend server and this many gateways.
pub fn members_of(declared: &Declarations, gateways: usize) -> Members {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let member = |node: Box<str>, host: Box<str>, domain: Box<str>, server| Member {
        node,
        host,
        domain,
        address,
        server,
        epoch: 1,
        leaving: false,
        down: false,
    };
    let agents = declared.servers.iter().map(|server| {
        let node = format!("{}/agent", server.host).into();
        let server_name = Some(server.name.clone());
        member(
            node,
            server.host.clone(),
            server.domain.clone(),
            server_name,
        )
    });
    let gateways = (0..gateways).map(|number| {
        let host: Box<str> = format!("entry-{number:04}").into();
        let domain = &declared.domains[number % declared.domains.len()].name;
        member(format!("{host}/gateway").into(), host, domain.clone(), None)
    });
    let nodes = agents.chain(gateways);
    Members {
        nodes: nodes.map(|member| (member.node.clone(), member)).collect(),
    }
}
