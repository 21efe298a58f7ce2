// Guards against a host that takes the slots and rates of all others because it no longer hears them: a process whose event
// loop was delayed gave up its calls, presumed after ten seconds that it was alone, and sent as much as all hosts together.
import { listLiveHosts } from "../src/listLiveHosts";

const NOW_MS = 100_000;
const SILENT_MS = 12_000;
const PEERS = ["h1", "h2", "h3", "h4", "h5", "h6"];

/** Lists the hosts as h0 sees them if the first peers are silent and the others reported a moment ago. */
const listWithSilent = (silent: number, keepsSilentMajority = true): readonly string[] =>
    listLiveHosts({
        ownAddress: "h0",
        registered: ["h0", ...PEERS, "long-gone"],
        reports: PEERS.map((address, index) => ({
            address,
            reportedAtMs: NOW_MS - (index < silent ? SILENT_MS : 300),
        })),
        isLargeGroup: false,
        uptimeMs: 60_000,
        nowMs: NOW_MS,
        keepsSilentMajority,
    });

test("hosts that are silent while most others report are gone", () => {
    expect(listWithSilent(0)).toEqual(["h0", ...PEERS]);
    expect(listWithSilent(1)).toEqual(["h0", ...PEERS.slice(1)]);
    expect(listWithSilent(3)).toEqual(["h0", ...PEERS.slice(3)]);
});

test("a host that hears fewer than half of the others keeps all of them", () => {
    expect(listWithSilent(4)).toEqual(["h0", ...PEERS]);
    expect(listWithSilent(6)).toEqual(["h0", ...PEERS]);
    expect(listWithSilent(6, false)).toEqual(["h0"]);
});

test("a restarted host at a known address is not silent because the report of its predecessor is old", () => {
    const reports = [
        { address: "h1", reportedAtMs: NOW_MS - SILENT_MS },
        { address: "h1", reportedAtMs: NOW_MS - 300 },
        { address: "h2", reportedAtMs: NOW_MS - SILENT_MS },
    ];
    const live = listLiveHosts({
        ownAddress: "h0",
        registered: [],
        reports,
        isLargeGroup: false,
        uptimeMs: 60_000,
        nowMs: NOW_MS,
        keepsSilentMajority: true,
    });
    expect(live).toEqual(["h0", "h1"]);
});
