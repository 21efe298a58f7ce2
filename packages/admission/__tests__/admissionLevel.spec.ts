import { type AccountId, createFakeClock, type HostId, type ServiceName } from "@ibislanding/core";
import fc from "fast-check";
import { computeAdmissionLevel, createAdmissionLevel, type DemandRow, parseDemandRow } from "../src";

const SERVICE = "chat" as ServiceName;

const rowOf = (urgency: number, accountId: string, offeredUnits: number, sentUnits = 0): DemandRow => ({
    service: SERVICE,
    urgency,
    accountId: accountId as AccountId,
    offeredUnits,
    sentUnits,
});

const shareOf = (rows: readonly DemandRow[], capacity: number, accountId: string): number | undefined =>
    computeAdmissionLevel(rows, capacity).admittedShares.get(accountId as AccountId);

// Guards against a large account that starves small ones, and against less urgent requests that are served before urgent ones.
test("accounts get max-min fair totals at the urgency that fits only in part", () => {
    const rows = [rowOf(0, "a", 10), rowOf(1, "a", 50), rowOf(1, "b", 10), rowOf(1, "c", 30), rowOf(2, "b", 99)];
    expect(computeAdmissionLevel(rows, 70).urgency).toBe(1);
    // 60 units for urgency 1: b offers less than its part; a and c get 30 units in total, of which a has 10 already.
    expect(shareOf(rows, 70, "a")).toBeCloseTo(20 / 50);
    expect(shareOf(rows, 70, "b")).toBe(1);
    expect(shareOf(rows, 70, "c")).toBe(1);
    expect(computeAdmissionLevel(rows, 200).urgency).toBe(Infinity);
    expect(computeAdmissionLevel([], 0).urgency).toBe(Infinity);
});

test("the admitted units are the capacity, for random demand", () => {
    const row = fc.record({ urgency: fc.nat(3), account: fc.nat(5), units: fc.nat(1_000) });
    fc.assert(
        fc.property(fc.array(row, { maxLength: 40 }), fc.nat(10_000), (drawn, capacity) => {
            const rows = drawn.map(({ urgency, account, units }) => rowOf(urgency, `account-${account}`, units));
            const { urgency, admittedShares } = computeAdmissionLevel(rows, capacity);
            const offered = rows.reduce((sum, { offeredUnits }) => sum + offeredUnits, 0);
            const admitted = rows.reduce((sum, row) => {
                const share = row.urgency === urgency ? admittedShares.get(row.accountId) ?? 1 : 1;
                return row.urgency > urgency ? sum : sum + row.offeredUnits * share;
            }, 0);
            expect(admitted).toBeCloseTo(Math.min(offered, capacity), 4);
            expect([...admittedShares.values()].every(share => share >= 0 && share <= 1 + 1e-9)).toBe(true);
        }),
        { seed: 1 },
    );
});

test.each([
    [[SERVICE, 0, "a", -1, 0]],
    [[SERVICE, 0, "a", 1e300, 0]],
    [[SERVICE, 0, "a", 1, NaN]],
    [[SERVICE, "0", "a", 1, 1]],
    [[SERVICE, 0.5, "a", 1, 1]],
    [["", 0, "a", 1, 1]],
    [[SERVICE, 0]],
    [{ service: SERVICE }],
    [null],
])("a row that can't be read is dropped: %j", row => {
    expect(parseDemandRow(row)).toBeUndefined();
});

const createState = () => {
    const clock = createFakeClock();
    const state = { isEnabled: true, draw: 0.5 };
    const changes: (number | undefined)[] = [];
    const level = createAdmissionLevel({
        clock,
        random: { nextFloat: () => state.draw },
        isEnabled: () => state.isEnabled,
        onLevelChange: (_, changed) => void changes.push(changed?.urgency),
    });
    const request = (urgency: number) => ({ service: SERVICE, urgency, accountId: "a" as AccountId, units: 100 });
    let offered = 0;
    /** Peers that offer 2,000 units a second at each of three urgencies and are served 2,000 in all. */
    const report = async (seconds: number, waitShare: number): Promise<void> => {
        for (let step = 0; step < seconds * 2; step++) {
            await clock.advance(500);
            offered += 1_000;
            level.recordFirstEvent(request(0), waitShare);
            level.observePeer("peer" as HostId, [0, 1, 2].map(urgency => rowOf(urgency, "a", offered, offered / 3)));
            level.levelOf(SERVICE);
        }
    };
    const admits = (urgency: number, freeShare = 0): boolean => level.admits(request(urgency), () => freeShare);
    return { clock, state, level, changes, request, report, admits };
};

test("above the level most is refused, below it everything is admitted, and with half of the slots free all", async () => {
    const { report, admits, changes } = createState();
    expect(admits(2)).toBe(true);
    await report(4, 2);
    expect(admits(2)).toBe(false);
    expect(admits(2, 0.5)).toBe(true);
    expect(admits(-1)).toBe(true);
    expect(changes.at(-1)).toBeLessThan(2);
});

// Guards against a level that stays when its collector has died: nobody would ever learn that demand has gone.
test("three seconds after the last report, each host decides for itself", async () => {
    const { clock, report, admits } = createState();
    await report(4, 2);
    await clock.advance(2_900);
    expect(admits(2)).toBe(false);
    await clock.advance(300);
    expect(admits(2)).toBe(true);
});

test("a peer that has restarted, and reports smaller counters, brings no demand until its next report", async () => {
    const { level, report, admits } = createState();
    await report(4, 2);
    level.observePeer("peer" as HostId, [rowOf(0, "a", 5, 5)]);
    level.observePeer("new" as HostId, [rowOf(0, "a", 1e14, 1e14)]);
    expect(admits(2)).toBe(false);
    expect(level.rows().every(({ offeredUnits }) => offeredUnits < 1e6)).toBe(true);
});

test("a group that is too small, or a service that is not saturated, reports no demand", async () => {
    const { state, level, report, request, admits } = createState();
    await report(2, 0.1);
    level.recordOffered(request(1));
    expect(level.rows()).toEqual([]);
    await report(2, 2);
    level.recordOffered(request(1));
    expect(level.rows()).not.toEqual([]);
    state.isEnabled = false;
    await report(1, 2);
    expect(level.rows()).toEqual([]);
    expect(admits(2)).toBe(true);
});

// Guards against sudden demand that nobody offers: a host that has restarted meets the counters of a peer's earlier
// saturation, which are larger than all that is offered now, when another service of this peer is known already.
test("the first row of a service says nothing about an interval, also if its reporter is known", async () => {
    const { clock, level, report, request } = createState();
    await report(4, 2);
    const before = level.servedUnitsPerS(SERVICE, "b" as AccountId);
    level.observePeer("peer" as HostId, [rowOf(0, "b", 1e9, 1e9)]);
    await clock.advance(300);
    expect(level.servedUnitsPerS(SERVICE, "b" as AccountId)).toBe(before);
    await clock.advance(300);
    level.observePeer("peer" as HostId, [rowOf(0, "b", 1e9 + 600, 1e9 + 600)]);
    level.recordFirstEvent(request(0), 2);
    await clock.advance(300);
    expect(level.servedUnitsPerS(SERVICE, "b" as AccountId)).toBeGreaterThan(100);
    expect(level.servedUnitsPerS(SERVICE, "b" as AccountId)).toBeLessThan(2_000);
});

// Guards against callers of the least urgent kind that get nothing for seconds while the more urgent ones use the capacity.
test("above the level, requests are admitted at a quarter of the share that all requests get", async () => {
    const { state, level, report, admits } = createState();
    await report(4, 2);
    // 6,000 units a second are offered. 2,100 are served, and first events are late: the capacity is half of that.
    const admitted = Array.from({ length: 10_000 }, (_, index) => {
        state.draw = index / 10_000;
        return admits(2);
    }).filter(Boolean).length / 10_000;
    const capacity = level.freeUnitsPerS(SERVICE, 0) ?? 0;
    expect(capacity).toBeGreaterThan(900);
    expect(capacity).toBeLessThan(1_200);
    expect(admitted).toBeCloseTo(capacity / 6_000 / 4, 2);
    expect(admitted).toBeGreaterThan(0.035);
});
