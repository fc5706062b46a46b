//! Bytes from outside: whatever they are, they are refused or read, and nothing else happens.

use std::collections::{BTreeMap, BTreeSet};

use lockcroft_table_format::{
    FormatError, Key, KeyRing, ProxyAssignment, ProxyGroup, SealedSnapshot, SnapshotContent, Table,
    TableEntry, WITHDRAWN, open, proto, read_group, read_status, read_table, read_withdrawn, seal,
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
    let line = (any::<u16>(), 1..=256_u32).prop_map(|(port, weight)| {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
        TableEntry { address, weight }
    });
    let table = proptest::collection::btree_map(any_name(), line, 0..6).prop_map(|lines| Table { lines });
    let bound = (0..4_u32, 0..=1000_u32, any::<bool>());
    let bound = bound.prop_map(|(table, level, again)| ProxyAssignment { table, level, again });
    let group = (
        proptest::collection::btree_set(any_name(), 0..4),
        proptest::collection::btree_map(any_name(), bound, 0..3),
    );
    let group = group.prop_map(|(proxies, bound)| ProxyGroup { proxies, bound });
    (
        proptest::collection::btree_map(0..9_u32, table, 0..4),
        proptest::collection::btree_map(0..9_u32, group, 0..4),
        proptest::collection::btree_set(any_name(), 0..4),
    )
        .prop_map(|(tables, groups, withdrawn)| SnapshotContent { tables, groups, withdrawn })
}

/// A manifest without the seals of keys that are not known here, which say nothing: keys are turned over so.
fn less_foreign_seals(manifest: &[u8]) -> Vec<u8> {
    let mut sealed = proto::Sealed::parse_from_bytes(manifest).expect("opened");
    sealed.seals.retain(|seal| seal.key == "k1");
    sealed.write_to_bytes().expect("written")
}

/// Everything that a generation says, by opening it.
fn read(generation: &SealedSnapshot, keys: &KeyRing) -> Result<SnapshotContent, FormatError> {
    let opened = open(&generation.manifest, keys)?;
    let mut content = SnapshotContent::default();
    for name in opened.members.keys() {
        let bytes = &generation.members[name].bytes;
        opened.check(name, bytes)?;
        if name == WITHDRAWN {
            content.withdrawn = read_withdrawn(bytes)?;
        } else if let Some(number) = name.strip_prefix("group-") {
            content.groups.insert(number.parse().expect("a number"), read_group(name, bytes)?);
        } else {
            let (number, table) = read_table(name, bytes)?;
            content.tables.insert(number, table);
        }
    }
    Ok(content)
}

proptest! {
    #[test]
    fn what_is_sealed_is_read_again(content in any_content(), epoch in 1..99_u64, version in 1..99_u64) {
        let generation = seal("p", epoch, version, &content, &keys());
        prop_assert_eq!(read(&generation, &keys()), Ok(content.clone()));
        prop_assert_eq!(seal("p", epoch, version, &content, &keys()), generation);
    }

    /// Seeds are a manifest and its members; bytes are changed, cut out, put in and doubled.
    #[test]
    fn changed_bytes_are_refused_or_read(
        content in any_content(),
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..4_u8), 1..6),
    ) {
        let sound = seal("p", 1, 1, &content, &keys());
        let change = |bytes: &[u8]| {
            let mut bytes = bytes.to_vec();
            for (place, byte, way) in &changes {
                let at = if bytes.is_empty() { 0 } else { place.index(bytes.len()) };
                match way {
                    0 if !bytes.is_empty() => bytes[at] = *byte,
                    1 if !bytes.is_empty() => drop(bytes.remove(at)),
                    2 => bytes.insert(at, *byte),
                    _ => bytes.extend_from_within(at..),
                }
            }
            bytes
        };
        let manifest = change(&sound.manifest);
        prop_assert!(open(&manifest, &keys()).is_err() || less_foreign_seals(&manifest) == sound.manifest);
        let opened = open(&sound.manifest, &keys()).expect("sound");
        for (name, member) in &sound.members {
            let bytes = change(&member.bytes);
            prop_assert!(bytes == member.bytes || opened.check(name, &bytes).is_err());
            // Behind a digest that somebody with a key made, they are still only bytes.
            let table = read_table(name, &bytes);
            prop_assert!(table.is_err() || table.is_ok_and(|(_, t)| t.lines.values().all(|l| (1..=256).contains(&l.weight))));
            let group = read_group(name, &bytes);
            prop_assert!(group.is_err() || group.is_ok_and(|g| g.bound.values().all(|b| b.level <= 1000)));
            let _ = (read_withdrawn(&bytes), read_status(&bytes));
        }
    }

    #[test]
    fn any_bytes_will_do_no_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(open(&bytes, &keys()).is_err());
        let _ = (read_table("t", &bytes), read_group("g", &bytes), read_withdrawn(&bytes), read_status(&bytes));
    }
}

/// A manifest as somebody with the key writes it, with something wrong in it.
fn forged(change: impl Fn(&mut proto::Manifest)) -> Result<(), String> {
    let mut manifest = proto::Manifest { format: 1, epoch: 1, version: 1, ..Default::default() };
    manifest.members.push(proto::Member {
        name: "table-1".into(),
        digest: vec![0; 32],
        ..Default::default()
    });
    change(&mut manifest);
    let bytes = manifest.write_to_bytes().expect("written");
    let keys = keys();
    let seals = keys.0.iter().map(|key| proto::Seal {
        key: key.name.clone(),
        mac: key.sign(&bytes),
        ..Default::default()
    });
    let sealed = proto::Sealed { manifest: bytes.clone(), seals: seals.collect(), ..Default::default() };
    open(&sealed.write_to_bytes().expect("written"), &keys).map(|_| ()).map_err(|wrong| wrong.to_string())
}

#[test]
fn a_key_alone_is_not_believed() {
    assert_eq!(forged(|_| ()), Ok(()));
    let said = |change: &dyn Fn(&mut proto::Manifest)| forged(change).expect_err("wrong");
    assert_eq!(said(&|m| m.format = 2), "manifest: format 2, 1 is read here");
    for name in ["../e9", "a/b", "", "manifest", "Table"] {
        assert!(said(&|m| m.members[0].name = name.into()).contains("no such name"), "{name:?}");
    }
    assert!(said(&|m| m.members.push(m.members[0].clone())).contains("no such name"), "twice");
    assert!(said(&|m| m.members[0].digest.truncate(31)).contains("not as the manifest has it"));
    assert_eq!(said(&|m| m.members[0].bytes = 1 << 40), "table-1: 1099511627776 bytes, 16777216 at most");
    let many = |m: &mut proto::Manifest| {
        let member =
            |i| proto::Member { name: format!("table-{i}"), digest: vec![0; 32], ..Default::default() };
        m.members = (0..9000).map(member).collect();
    };
    assert_eq!(said(&many), "manifest: 9000 members; 8192 at most");
}

/// The seal is the last field: a copy of all of it behind it is well-formed, and says nothing.
#[test]
fn a_seal_stands_once() {
    let sound = seal("p", 1, 1, &SnapshotContent::default(), &keys()).manifest;
    let sealed = proto::Sealed::parse_from_bytes(&sound).expect("read");
    let with = |seal: proto::Seal| {
        let mut sealed = sealed.clone();
        sealed.seals.push(seal);
        open(&sealed.write_to_bytes().expect("written"), &keys())
    };
    let said = with(sealed.seals[0].clone()).expect_err("doubled").to_string();
    assert_eq!(said, "manifest: torn or foreign: a key seals it twice");
    let foreign = proto::Seal { key: "k2".into(), mac: vec![1; 32], ..Default::default() };
    assert_eq!(with(foreign), open(&sound, &keys()));
}

/// A newer pilot may say more: what is not known here is passed over by readers, and is still there when a
/// message is written again.
#[test]
fn fields_of_a_later_day_are_kept() {
    let table = proto::Table { number: 3, ..Default::default() };
    // Field 15, a length of 4.
    let bytes = [table.write_to_bytes().expect("written"), vec![0x7a, 4, 1, 2, 3, 4]].concat();
    assert_eq!(read_table("table-3", &bytes), Ok((3, Table::default())));
    let again = proto::Table::parse_from_bytes(&bytes).expect("read");
    assert_eq!(again.write_to_bytes().expect("written"), bytes);
}

#[test]
fn figures_beyond_their_limits_are_named() {
    let line = |server: &str, address: &str, weight| proto::Line {
        server: server.into(),
        address: address.into(),
        weight,
        ..Default::default()
    };
    let wrong = |lines: Vec<proto::Line>| {
        let table = proto::Table { number: 1, lines, ..Default::default() };
        read_table("table-1", &table.write_to_bytes().expect("written")).expect_err("wrong").to_string()
    };
    assert_eq!(wrong(vec![line("e1", "127.0.0.1:1", 257)]), "table-1, e1: weight 257; 1 to 256");
    assert_eq!(wrong(vec![line("e1", "nowhere", 1)]), "table-1, e1: address \"nowhere\"; IP:PORT");
    let twice = vec![line("e1", "127.0.0.1:1", 1), line("e1", "127.0.0.1:2", 1)];
    assert_eq!(wrong(twice), "table-1, e1: stands twice; each server once");
    let bound = proto::Bound { class: "look".into(), level: 1001, ..Default::default() };
    let group = proto::Group { bound: vec![bound], ..Default::default() };
    let said =
        read_group("group-1", &group.write_to_bytes().expect("written")).expect_err("wrong").to_string();
    assert_eq!(said, "group-1, look: level 1001; 0 to 1000");
}

#[test]
fn what_differs_is_counted_by_line() {
    let line = |weight| TableEntry { address: "127.0.0.1:1".parse().expect("an address"), weight };
    let table = |weights: &[u32]| Table {
        lines: weights.iter().enumerate().map(|(i, weight)| (format!("e{i}"), line(*weight))).collect(),
    };
    let one =
        SnapshotContent { tables: BTreeMap::from([(1, table(&[1, 2, 3]))]), ..SnapshotContent::default() };
    let other = SnapshotContent {
        tables: BTreeMap::from([(1, table(&[1, 5])), (2, table(&[1]))]),
        withdrawn: BTreeSet::from(["e9".to_string()]),
        ..SnapshotContent::default()
    };
    assert_eq!((one.differs(&other), other.differs(&one), one.differs(&one)), (4, 4, 0));
}

/// The worked example of docs/files.md, to the byte: readers in other languages are built from it.
#[test]
fn the_worked_example() {
    let key = Key::new("k1", &(0..32).collect::<Vec<u8>>()).expect("long enough");
    let line = TableEntry { address: "127.0.0.1:8101".parse().expect("an address"), weight: 256 };
    let bound = ProxyAssignment { table: 3, level: 500, again: true };
    let content = SnapshotContent {
        tables: BTreeMap::from([(3, Table { lines: BTreeMap::from([("e1".into(), line)]) })]),
        groups: BTreeMap::from([(
            0,
            ProxyGroup {
                proxies: BTreeSet::from(["r1".into()]),
                bound: BTreeMap::from([("look".into(), bound)]),
            },
        )]),
        withdrawn: BTreeSet::from(["e9".into()]),
    };
    let generation = seal("p", 7, 41, &content, &KeyRing(vec![key]));
    let hex = |bytes: &[u8]| {
        let rows =
            bytes.chunks(32).map(|row| row.iter().map(|byte| format!("{byte:02x}")).collect::<String>());
        rows.map(|row| format!("    {row}\n")).collect::<String>()
    };
    let members = generation.members.iter().map(|(name, member)| format!("{name}\n{}", hex(&member.bytes)));
    let all = members.collect::<String>() + "manifest\n" + &hex(&generation.manifest);
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
