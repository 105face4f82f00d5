//! Guards against a `Display` form that `FromStr` rejects or parses to another value: a value copied
//! from a log or a scenario file to the command line would then not be the same.

use proptest::prelude::*;
use sapphirepost_types::Name;
use sapphirepost_types::OperationId;
use sapphirepost_types::RequestClass;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::name::NameError;
use sapphirepost_types::timed_id::TimedIdError;

proptest! {
    #[test]
    fn resources_parse_back(millicores in any::<u64>(), memory_mib in any::<u64>(), accelerators in any::<u32>()) {
        let resources = Resources::new(millicores, memory_mib, accelerators);
        prop_assert_eq!(resources.to_string().parse::<Resources>(), Ok(resources));
    }

    #[test]
    fn names_parse_back(text in "[a-z0-9][a-z0-9._-]{0,62}") {
        let name: Name = text.parse().unwrap();
        prop_assert_eq!(name.to_string(), text);
    }

    #[test]
    fn operation_ids_parse_back(unix_ms in any::<u64>(), text in "[A-Za-z0-9._-]{1,64}") {
        let id = OperationId::new(unix_ms, &text).unwrap();
        prop_assert_eq!(id.to_string().parse::<OperationId>().unwrap(), id);
    }

    #[test]
    fn checked_sub_fails_exactly_on_underflow(a in any::<u64>(), b in any::<u64>()) {
        let left = Resources::new(a, 0, 0);
        let right = Resources::new(b, 0, 0);
        prop_assert_eq!(left.checked_sub(&right).is_some(), right.fits_in(&left));
    }
}

#[test]
fn malformed_values_are_refused_with_the_cause() {
    assert_eq!("".parse::<Name>(), Err(NameError::Empty));
    assert_eq!("Wall".parse::<Name>(), Err(NameError::BadCharacter('W')));
    assert_eq!("-wall".parse::<Name>(), Err(NameError::BadStart('-')));
    assert_eq!("a".repeat(64).parse::<Name>(), Err(NameError::TooLong(64)));
    assert_eq!(
        "x-1".parse::<OperationId>(),
        Err(TimedIdError::BadTime("x".to_owned()))
    );
    assert_eq!(
        "17".parse::<OperationId>(),
        Err(TimedIdError::NoSeparator("17".to_owned()))
    );
    assert!("task".parse::<TaskId>().is_err());
    assert!("slow".parse::<RequestClass>().is_err());
    assert!("1m/2Mi/3a/4".parse::<Resources>().is_err());
}
