use super::*;
use crate::stand_in::{Folder, on_one_thread, plan};
use serde_json::{Value, json};

#[test]
fn a_configuration_that_cannot_be_used_is_told_in_one_line() {
    for (name, value, told) in [
        ("listen", json!("here"), "an address as settings' listen"),
        ("listen", Value::Null, "found none"),
        ("seed", json!("x7"), "a hexadecimal number"),
        ("discovery", json!(7), "a text"),
        ("limits", json!({"disk_mb": "much"}), "limits.disk_mb"),
        ("settings", json!([]), "a JSON object"),
        ("settings", json!({"classes": [{"name": "g"}]}), "effect"),
        ("known", json!({"revision": 1, "members": [{"id": "e"}]}), "host_port"),
    ] {
        let mut plan = plan();
        plan[name] = value;
        let trouble = check(&plan.to_string()).unwrap_err();
        assert!(trouble.contains(told) && !trouble.contains('\n'), "{trouble}");
    }
    assert!(check("{").is_err());
    assert_eq!(check(&plan().to_string()), Ok(()));
}

#[test]
fn a_courier_with_nothing_owed_stops_when_it_is_told_to() {
    let folder = Folder::new();
    let ran = on_one_thread(serve(&plan().to_string(), &folder.0, async {}));
    assert_eq!(ran, Ok(()));
    let trouble = on_one_thread(serve(&plan().to_string(), &folder.0.join("missing"), async {})).unwrap_err();
    assert!(trouble.starts_with("the lasting folder cannot be used"), "{trouble}");
}
