//! The mechanism with a part left out on purpose is caught by the model's audit; whole it is not.

use plovershelf_config_distribution::broken::{set, Broken};
use plovershelf_simulation::changes::shapes::Shape;
use plovershelf_simulation::changes::tree::Tree;
use plovershelf_simulation::changes::{
    run, Came, BAD_CHANGES_NOTHING, CUT_OFF_SERVES_ON, IN_FORCE_MS, NEVER_BACKWARDS, ONE_CONTENT_A_NUMBER,
};

fn came(name: &'static str) -> Came {
    run::<Tree>(&Shape::of(name, 40, 4), None)
}

fn late(came: &Came) -> bool {
    came.missed > 0 || came.in_force_at(0.99).is_none_or(|ms| ms > IN_FORCE_MS)
}

#[test]
fn broken_on_purpose_is_caught_and_whole_is_not() {
    for name in ["relays-gone", "back", "mangled"] {
        let whole = came(name);
        assert!(whole.broken_count.is_empty() && !late(&whole), "{name}: {:?}", whole.broken);
    }
    set(Some(Broken::SpareNeverUsed));
    assert!(late(&came("relays-gone")));
    set(Some(Broken::CutOffForgets));
    assert!(came("back").count(CUT_OFF_SERVES_ON) + came("back").count(NEVER_BACKWARDS) > 0);
    set(Some(Broken::DigestNotChecked));
    assert!(came("mangled").count(ONE_CONTENT_A_NUMBER) > 0);
    set(Some(Broken::EditsNotChecked));
    assert!(came("mangled").count(BAD_CHANGES_NOTHING) > 0);
    set(Some(Broken::VersionNotCompared));
    assert!(came("mangled").count(NEVER_BACKWARDS) > 0);
    set(None);
}
