// Guards against cut-off hosts that relay to each other: when reports are late, as after a pause of this process, hosts still
// count as live, and were taken for hosts that reach everything.
import { listLiveHosts } from "../src/listLiveHosts";
import { listReachRows } from "../src/listReachRows";
import type { ReachRow } from "../src/reachRow";

const NOW_MS = 100_000;

const reportOf = (address: string, ageMs: number, ...cutOff: ReachRow[]) => ({
    report: { address, cutOff: cutOff.length === 0 ? undefined : cutOff },
    reportedAtMs: NOW_MS - ageMs,
});

test.each([100, 3_000, 9_900])("a host that counts as live after %d ms is still known to reach no upstream", ageMs => {
    const reports = [reportOf("a", ageMs, ["a", "orders", 0]), reportOf("b", ageMs)];
    const live = listLiveHosts({
        ownAddress: "self",
        registered: ["self", "a", "b"],
        reports: reports.map(({ report, reportedAtMs }) => ({ address: report.address, reportedAtMs })),
        isLargeGroup: false,
        uptimeMs: NOW_MS,
        nowMs: NOW_MS,
        keepsSilentMajority: false,
    });
    expect(live).toContain("a");
    expect(listReachRows(reports, NOW_MS)).toEqual([["a", "orders", 0]]);
});

test("the newest report of an address holds, also if another process wrote the one before", () => {
    expect(listReachRows([reportOf("a", 50), reportOf("a", 400, ["a", "orders", 0])], NOW_MS)).toEqual([]);
});

test("the lowest share that summaries report counts", () => {
    const reports = [
        reportOf("c", 50, ["a", "orders", 0.5]),
        reportOf("d", 90, ["a", "orders", 0], ["a", "stock", 0.2]),
    ];
    expect([...listReachRows(reports, NOW_MS)].sort()).toEqual([["a", "orders", 0], ["a", "stock", 0.2]]);
});
