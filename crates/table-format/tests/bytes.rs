//! Encoding and decoding of snapshots: arbitrary bytes are either rejected or decoded within limits, without a panic.

use std::collections::{BTreeMap, BTreeSet};

use lockcroft_table_format::{
    EJECTED_MEMBER, FormatError, GROUP_MEMBER_PREFIX, Key, KeyRing, NumberedTable, ProxyAssignment,
    ProxyGroup, SealedSnapshot, SnapshotContent, Table, TableEntry, decode_ejected, decode_group,
    decode_status, decode_table, open_manifest, proto, seal,
};
use proptest::prelude::*;
use protobuf::Message;

fn keys() -> KeyRing {
    KeyRing(vec![Key::new("k1", &[7; 32]).expect("long enough")])
}

fn any_name() -> impl Strategy<Value = String> {
    "[a-z0-9äß/ -]{1,12}"
}

fn any_content() -> impl Strategy<Value = SnapshotContent> {
    let entry = (any::<u16>(), 1..=256_u32).prop_map(|(port, weight)| {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
        TableEntry { address, weight }
    });
    let table =
        proptest::collection::btree_map(any_name(), entry, 0..6).prop_map(|entries| Table { entries });
    let assignment = (0..4_u32, 0..=1000_u32, any::<bool>());
    let assignment = assignment.prop_map(|(table, admission_per_mille, allows_retries)| ProxyAssignment {
        table,
        admission_per_mille,
        allows_retries,
    });
    let group = (
        proptest::collection::btree_set(any_name(), 0..4),
        proptest::collection::btree_map(any_name(), assignment, 0..3),
    );
    let group = group.prop_map(|(proxies, assignments)| ProxyGroup { proxies, assignments });
    (
        proptest::collection::btree_map(0..9_u32, table, 0..4),
        proptest::collection::btree_map(0..9_u32, group, 0..4),
        proptest::collection::btree_set(any_name(), 0..4),
    )
        .prop_map(|(tables, groups, ejected)| SnapshotContent { tables, groups, ejected })
}

/// Removes the seals of unknown keys from a manifest. Readers ignore these, so that keys can be rotated.
fn without_unknown_seals(manifest: &[u8]) -> Vec<u8> {
    let mut sealed = proto::Sealed::parse_from_bytes(manifest).expect("valid message");
    sealed.seals.retain(|seal| seal.key == "k1");
    sealed.write_to_bytes().expect("encoded")
}

/// Decodes the content of a snapshot from its files.
fn decode(snapshot: &SealedSnapshot, keys: &KeyRing) -> Result<SnapshotContent, FormatError> {
    let opened = open_manifest(&snapshot.manifest, keys)?;
    let mut content = SnapshotContent::default();
    for name in opened.members.keys() {
        let bytes = &snapshot.members[name].bytes;
        opened.verify_member(name, bytes)?;
        if name == EJECTED_MEMBER {
            content.ejected = decode_ejected(bytes)?;
        } else if let Some(number) = name.strip_prefix(GROUP_MEMBER_PREFIX) {
            content.groups.insert(number.parse().expect("a number"), decode_group(name, bytes)?);
        } else {
            let NumberedTable { number, table } = decode_table(name, bytes)?;
            content.tables.insert(number, table);
        }
    }
    Ok(content)
}

proptest! {
    #[test]
    fn sealed_content_is_decoded_unchanged(content in any_content(), epoch in 1..99_u64, version in 1..99_u64) {
        let snapshot = seal("p", epoch, version, &content, &keys());
        prop_assert_eq!(decode(&snapshot, &keys()), Ok(content.clone()));
        prop_assert_eq!(seal("p", epoch, version, &content, &keys()), snapshot);
    }

    /// Replaces, removes, inserts and duplicates bytes of a manifest and of its members.
    #[test]
    fn changed_bytes_are_rejected_or_decode_within_limits(
        content in any_content(),
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..4_u8), 1..6),
    ) {
        let valid = seal("p", 1, 1, &content, &keys());
        let change = |bytes: &[u8]| {
            let mut bytes = bytes.to_vec();
            for (index, byte, mutation) in &changes {
                let position = if bytes.is_empty() { 0 } else { index.index(bytes.len()) };
                match mutation {
                    0 if !bytes.is_empty() => bytes[position] = *byte,
                    1 if !bytes.is_empty() => drop(bytes.remove(position)),
                    2 => bytes.insert(position, *byte),
                    _ => bytes.extend_from_within(position..),
                }
            }
            bytes
        };
        let manifest = change(&valid.manifest);
        prop_assert!(open_manifest(&manifest, &keys()).is_err() || without_unknown_seals(&manifest) == valid.manifest);
        let opened = open_manifest(&valid.manifest, &keys()).expect("valid manifest");
        for (name, member) in &valid.members {
            let bytes = change(&member.bytes);
            prop_assert!(bytes == member.bytes || opened.verify_member(name, &bytes).is_err());
            // A writer that has a key can list a matching digest, so the decoders have to check the limits themselves.
            let table = decode_table(name, &bytes);
            prop_assert!(table.is_err() || table.is_ok_and(|numbered| numbered.table.entries.values().all(|entry| (1..=256).contains(&entry.weight))));
            let group = decode_group(name, &bytes);
            prop_assert!(group.is_err() || group.is_ok_and(|group| group.assignments.values().all(|assignment| assignment.admission_per_mille <= 1000)));
            let _ = (decode_ejected(&bytes), decode_status(&bytes));
        }
    }

    #[test]
    fn arbitrary_bytes_are_rejected_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(open_manifest(&bytes, &keys()).is_err());
        let _ = (decode_table("t", &bytes), decode_group("g", &bytes), decode_ejected(&bytes), decode_status(&bytes));
    }
}

/// Changes a manifest, seals it with a known key and opens it.
fn open_changed_manifest(change: impl Fn(&mut proto::Manifest)) -> Result<(), String> {
    let mut manifest = proto::Manifest { format: 1, epoch: 1, version: 1, ..Default::default() };
    manifest.members.push(proto::Member {
        name: "table-1".into(),
        digest: vec![0; 32],
        ..Default::default()
    });
    change(&mut manifest);
    let bytes = manifest.write_to_bytes().expect("encoded");
    let keys = keys();
    let seals = keys.0.iter().map(|key| proto::Seal {
        key: key.name.clone(),
        mac: key.sign(&bytes),
        ..Default::default()
    });
    let sealed = proto::Sealed { manifest: bytes.clone(), seals: seals.collect(), ..Default::default() };
    open_manifest(&sealed.write_to_bytes().expect("encoded"), &keys)
        .map(|_| ())
        .map_err(|error| error.to_string())
}

#[test]
fn validly_sealed_manifests_with_invalid_content_are_rejected() {
    assert_eq!(open_changed_manifest(|_| ()), Ok(()));
    let error_of =
        |change: &dyn Fn(&mut proto::Manifest)| open_changed_manifest(change).expect_err("invalid content");
    assert_eq!(error_of(&|m| m.format = 2), "manifest: unsupported format 2, expected 1");
    for name in ["../e9", "a/b", "", "manifest", "Table"] {
        assert!(error_of(&|m| m.members[0].name = name.into()).contains("invalid name, or not"), "{name:?}");
    }
    assert!(
        error_of(&|m| m.members.push(m.members[0].clone())).contains("invalid name, or not"),
        "listed twice"
    );
    assert!(error_of(&|m| m.members[0].digest.truncate(31)).contains("does not match its recorded digest"));
    assert_eq!(
        error_of(&|m| m.members[0].bytes = 1 << 40),
        "table-1: 1099511627776 bytes, expected at most 16777216"
    );
    let too_many = |m: &mut proto::Manifest| {
        let member =
            |i| proto::Member { name: format!("table-{i}"), digest: vec![0; 32], ..Default::default() };
        m.members = (0..9000).map(member).collect();
    };
    assert_eq!(error_of(&too_many), "manifest: 9000 members, expected at most 8192");
}

/// Seals are the last field of the message, so appending a copy of a seal yields a message in canonical encoding.
#[test]
fn a_repeated_seal_is_rejected() {
    let valid = seal("p", 1, 1, &SnapshotContent::default(), &keys()).manifest;
    let sealed = proto::Sealed::parse_from_bytes(&valid).expect("valid message");
    let open_with = |seal: proto::Seal| {
        let mut sealed = sealed.clone();
        sealed.seals.push(seal);
        open_manifest(&sealed.write_to_bytes().expect("encoded"), &keys())
    };
    let error = open_with(sealed.seals[0].clone()).expect_err("repeated seal").to_string();
    assert_eq!(error, "manifest: malformed: two seals by the same key");
    let by_unknown_key = proto::Seal { key: "k2".into(), mac: vec![1; 32], ..Default::default() };
    assert_eq!(open_with(by_unknown_key), open_manifest(&valid, &keys()));
}

/// A newer controller may write additional fields. Readers skip them, and re-encoding a message preserves them.
#[test]
fn unknown_fields_are_skipped_and_preserved() {
    let table = proto::Table { number: 3, ..Default::default() };
    // Field 15, of wire type "length-delimited", with a length of 4.
    let bytes = [table.write_to_bytes().expect("encoded"), vec![0x7a, 4, 1, 2, 3, 4]].concat();
    assert_eq!(decode_table("table-3", &bytes), Ok(NumberedTable { number: 3, table: Table::default() }));
    let decoded = proto::Table::parse_from_bytes(&bytes).expect("valid message");
    assert_eq!(decoded.write_to_bytes().expect("encoded"), bytes);
}

#[test]
fn errors_name_values_that_are_out_of_range() {
    let entry = |endpoint: &str, address: &str, weight| proto::Line {
        server: endpoint.into(),
        address: address.into(),
        weight,
        ..Default::default()
    };
    let error_of = |lines: Vec<proto::Line>| {
        let table = proto::Table { number: 1, lines, ..Default::default() };
        decode_table("table-1", &table.write_to_bytes().expect("encoded"))
            .expect_err("value out of range")
            .to_string()
    };
    assert_eq!(error_of(vec![entry("e1", "127.0.0.1:1", 257)]), "table-1, e1: weight 257, expected 1 to 256");
    assert_eq!(
        error_of(vec![entry("e1", "nowhere", 1)]),
        "table-1, e1: address \"nowhere\", expected IP:PORT"
    );
    let twice = vec![entry("e1", "127.0.0.1:1", 1), entry("e1", "127.0.0.1:2", 1)];
    assert_eq!(error_of(twice), "table-1, e1: listed more than once, expected one entry per endpoint");
    let assignment = proto::Bound { class: "look".into(), level: 1001, ..Default::default() };
    let group = proto::Group { bound: vec![assignment], ..Default::default() };
    let error = decode_group("group-1", &group.write_to_bytes().expect("encoded"))
        .expect_err("value out of range")
        .to_string();
    assert_eq!(error, "group-1, look: admission rate 1001, expected 0 to 1000");
}

#[test]
fn changed_entries_and_ejections_are_counted() {
    let entry = |weight| TableEntry { address: "127.0.0.1:1".parse().expect("valid address"), weight };
    let table = |weights: &[u32]| Table {
        entries: weights.iter().enumerate().map(|(i, weight)| (format!("e{i}"), entry(*weight))).collect(),
    };
    let one =
        SnapshotContent { tables: BTreeMap::from([(1, table(&[1, 2, 3]))]), ..SnapshotContent::default() };
    let other = SnapshotContent {
        tables: BTreeMap::from([(1, table(&[1, 5])), (2, table(&[1]))]),
        ejected: BTreeSet::from(["e9".to_string()]),
        ..SnapshotContent::default()
    };
    assert_eq!(
        (one.changed_entry_count(&other), other.changed_entry_count(&one), one.changed_entry_count(&one)),
        (4, 4, 0)
    );
}

/// Checks the bytes of the worked example in docs/table-files.md, from which readers in other languages are built.
#[test]
fn the_worked_example_is_encoded_byte_for_byte() {
    let key = Key::new("k1", &(0..32).collect::<Vec<u8>>()).expect("long enough");
    let entry = TableEntry { address: "127.0.0.1:8101".parse().expect("valid address"), weight: 256 };
    let assignment = ProxyAssignment { table: 3, admission_per_mille: 500, allows_retries: true };
    let content = SnapshotContent {
        tables: BTreeMap::from([(3, Table { entries: BTreeMap::from([("e1".into(), entry)]) })]),
        groups: BTreeMap::from([(
            0,
            ProxyGroup {
                proxies: BTreeSet::from(["r1".into()]),
                assignments: BTreeMap::from([("look".into(), assignment)]),
            },
        )]),
        ejected: BTreeSet::from(["e9".into()]),
    };
    let snapshot = seal("p", 7, 41, &content, &KeyRing(vec![key]));
    let hex = |bytes: &[u8]| {
        let rows =
            bytes.chunks(32).map(|row| row.iter().map(|byte| format!("{byte:02x}")).collect::<String>());
        rows.map(|row| format!("    {row}\n")).collect::<String>()
    };
    let members = snapshot.members.iter().map(|(name, member)| format!("{name}\n{}", hex(&member.bytes)));
    let all = members.collect::<String>() + "manifest\n" + &hex(&snapshot.manifest);
    expect_test::expect![[r#"
        group-0
            0a027231120d0a046c6f6f6b100318f4032001
        table-3
            080312170a026531120e3132372e302e302e313a38313031188002
        withdrawn
            0a026539
        manifest
            0a98010801100718292201702a2d0a0767726f75702d3010131a20c72c110c9b
            eee8d49f11da722c3e631da0be120382944a47759731bacae079e72a2d0a0774
            61626c652d33101b1a20b92d2c666a6006f567c83433c4254a825163d1328c04
            ba08010149a643d3beea2a2f0a0977697468647261776e10041a2068a71dd6bf
            c879c1084aa3d16c3f57081084956f0d28655b563e622a5415115212260a026b
            31122018fc93f2033fdfe20ec60a6e97faae9abba95878e6bbcd02214829bb82
            9b2edd
    "#]]
    .assert_eq(&all);
}
