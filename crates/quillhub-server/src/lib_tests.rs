use super::*;
use crate::reload::apply_configurations;
use crate::test_support::{
    OK, StateDirectory, configuration, log_with, message, on_one_thread, scripted_server, unfinished_in,
};
use quillhub_fakes::clients::command;
use serde_json::{Value, json};
use std::future::pending;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Delay that lets the tasks of an instance run.
const TASK_DELAY: Duration = Duration::from_millis(5);

/// Guards against error messages that span several lines or do not name the faulty setting.
#[test]
fn an_unusable_configuration_is_reported_in_one_line() {
    for (name, value, expected) in [
        ("listen", json!("here"), "an address as setting listen"),
        ("listen", Value::Null, "found none"),
        ("seed", json!("x7"), "a hexadecimal number"),
        ("discovery", json!(7), "a string"),
        ("limits", json!({"disk_mb": "much"}), "limits.disk_mb"),
        ("settings", json!([]), "a JSON object"),
        ("settings", json!({"classes": [{"name": "g"}]}), "effect"),
        ("known", json!({"revision": 1, "members": [{"id": "e"}]}), "host_port"),
    ] {
        let mut configuration = configuration();
        configuration[name] = value;
        let error = check(&configuration.to_string()).unwrap_err().to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{error}");
    }
    assert!(check("{").is_err());
    assert!(check(&configuration().to_string()).is_ok());
}

/// Guards against an instance that does not return after a requested stop, or that starts without its state directory.
#[test]
fn an_idle_instance_stops_on_request_and_an_unusable_state_directory_is_reported() {
    let directory = StateDirectory::new();
    let result = on_one_thread(serve(&configuration().to_string(), &directory.0, async {}, pending));
    result.unwrap();
    let missing = directory.0.join("missing");
    let error = on_one_thread(serve(&configuration().to_string(), &missing, async {}, pending))
        .unwrap_err()
        .to_string();
    assert!(error.starts_with("the state directory cannot be used"), "{error}");
}

/// Guards against an address that is taken from a configuration with an error elsewhere, and against a reload that ends
/// after the first invalid configuration.
#[test]
fn a_reload_changes_discoverys_address_and_an_invalid_configuration_changes_nothing() {
    let initial = configuration();
    let (mut unusable, mut moved) = (configuration(), configuration());
    unusable["discovery"] = json!("127.0.0.1:2");
    unusable["seed"] = json!("x");
    moved["discovery"] = json!("127.0.0.1:3");
    moved["listen"] = json!("127.0.0.1:4");
    assert_eq!(configuration::settings_requiring_restart(&initial, &moved), ["listen"]);
    let missing = ReadError { path: "configuration.json".into(), source: ErrorKind::NotFound.into() };
    let mut texts = vec![Ok(moved.to_string()), Ok(unusable.to_string()), Err(missing)];
    on_one_thread(async {
        let (address, mut receiver) = watch::channel("127.0.0.1:1".parse().unwrap());
        let first_change = async {
            receiver.changed().await.unwrap();
            *receiver.borrow()
        };
        let next = async || match texts.pop() {
            Some(text) => text,
            None => pending().await,
        };
        tokio::select! {
            biased;
            changed = first_change => assert_eq!(changed.port(), 3),
            never = apply_configurations(&initial, &address, next) => match never {},
        }
    });
}

/// Guards against recovered messages that are sent to endpoints that drain or were removed: the list in the
/// configuration may be outdated, and discovery's current list arrives only after the process has started.
#[test]
fn recovered_messages_are_attempted_according_to_discoverys_list() {
    let directory = StateDirectory::new();
    drop(log_with(&directory, &[message("once")]));
    on_one_thread(async {
        tokio::time::pause();
        let (old, mut old_requests) = scripted_server(vec![OK]).await;
        let (new, mut new_requests) = scripted_server(vec![OK]).await;
        let member = |id: &str, address: SocketAddr, phase: &str| {
            json!({"id": id, "host_port": address.to_string(),
                "cell": 9, "phase": phase})
        };
        let members = [member("e", old, "draining"), member("f", new, "up")];
        let list = format!("{}\n", json!({"revision": 2, "complete": false, "members": members}));
        let response =
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n", list.len());
        let (discovery, _requests) = scripted_server(vec![response.leak().as_bytes()]).await;
        let mut configuration = configuration();
        configuration["discovery"] = json!(discovery.to_string());
        configuration["known"] =
            json!({"revision": 1, "complete": true, "members": [member("e", old, "up")]});
        let text = configuration.to_string();
        tokio::select! {
            ended = serve(&text, &directory.0, pending(), pending) => panic!("{ended:?}"),
            _ = old_requests.recv() => panic!("sent to the draining endpoint"),
            request = new_requests.recv() => assert!(request.is_some()),
        }
    });
}

/// Guards against a client that receives no reply because its command arrived only in part before shutdown was
/// requested, and against an accepted message that is lost because the dispatcher makes no more decisions.
#[test]
fn a_command_completed_late_in_a_shutdown_is_answered_and_its_message_left_to_the_next_process() {
    let directory = StateDirectory::new();
    on_one_thread(async {
        tokio::time::pause();
        let listen = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let mut configuration = configuration();
        configuration["listen"] = json!(listen.to_string());
        let (stop, stopped) = oneshot::channel();
        let (text, path) = (configuration.to_string(), directory.0.clone());
        let stop_requested = async { drop(stopped.await) };
        let server = spawn_local(async move { serve(&text, &path, stop_requested, pending).await });
        let mut client = loop {
            match TcpStream::connect(listen).await {
                Ok(client) => break client,
                Err(_) => sleep(TASK_DELAY).await,
            }
        };
        let arguments = ["SUBMIT", "0", "ab", "c=once,d=8000,dest=9", "body"];
        let input = command(&arguments.map(str::as_bytes));
        let (first_part, rest) = input.split_at(9);
        client.write_all(first_part).await.unwrap();
        sleep(TASK_DELAY).await;
        stop.send(()).unwrap();
        sleep(Duration::from_millis(2_400)).await; // the dispatcher makes no more decisions
        client.write_all(rest).await.unwrap();
        let mut reply = String::new();
        client.read_to_string(&mut reply).await.unwrap();
        assert_eq!(reply, "+OK\r\n");
        server.await.unwrap().unwrap();
    });
    assert_eq!(unfinished_in(&directory)[&1].body, b"body");
}
