// Guards against traffic that moves on invalid orders, old states or excluded versions, and against hosts that together
// send more than the share because each of them rounds.
import {
    createHasher,
    type Hasher,
    type HostId,
    type ServiceName,
    type SoftwareVersion,
    type UpstreamId,
} from "@ibislanding/core";
import fc from "fast-check";
import {
    advanceRollout,
    compareRolloutStates,
    createRolloutOrderId,
    createVersionGate,
    permittedShare,
    type RolloutPhase,
    type RolloutState,
    selectCanaryUpstreams,
} from "../src";
import { BOUNDS, OLD, TARGET } from "./support/simulateRollout";

const service = "chat" as ServiceName;
const NEXT = "v3" as SoftwareVersion;
const order = { orderId: createRolloutOrderId(1, 9), service, target: TARGET, durationMs: 12_000 };
const upstreams = [OLD, TARGET, NEXT].flatMap(softwareVersion =>
    Array.from(
        { length: 20 },
        (_unused, index) => ({ upstreamId: `${softwareVersion}-${index}` as UpstreamId, softwareVersion }),
    )
);
const registered = (...versions: SoftwareVersion[]) =>
    upstreams.filter(({ softwareVersion }) => versions.includes(softwareVersion));
const begin = {
    state: undefined,
    order,
    hasService: true,
    evidence: [],
    upstreams: registered(OLD, TARGET),
    oldStreams: 1,
    bounds: BOUNDS,
    nowMs: 0,
};
const canary = advanceRollout({ ...begin, state: advanceRollout(begin) });
const at = (phase: RolloutPhase, share: number): RolloutState => ({ ...canary, phase, share });

let hasher: Hasher;
beforeAll(async () => {
    hasher = await createHasher();
});

const createGate = (host = "h") => createVersionGate({ hostId: host as HostId, hasher, bounds: BOUNDS });
const knowledge = {
    service,
    order,
    state: canary,
    stateAgeMs: 0,
    evidence: [],
    upstreams: registered(OLD, TARGET),
    nowMs: 0,
};
const first = { kind: "first", service } as const;
const resume = { kind: "resume", service, version: TARGET } as const;

test("orders for unknown services and with unusable durations are rejected", () => {
    const rejected = [0, -1, NaN, Infinity, 3_600_001].map(durationMs =>
        advanceRollout({ ...begin, order: { ...order, durationMs } })
    );
    const unknown = advanceRollout({ ...begin, hasService: false });
    expect([...rejected, unknown].map(({ phase, share }) => [phase, share])).toEqual(Array(6).fill(["rolled-back", 0]));
    expect(unknown.reason).toContain("unknown service chat");
    expect(rejected[0]?.excluded).toEqual([TARGET]);
    // An invalid order for the version that carries the traffic must not take it away.
    expect(advanceRollout({ ...begin, upstreams: registered(TARGET), hasService: false }).excluded).toEqual([]);
});

test("the only registered version is completed at once, and a target without upstream is rolled back", () => {
    expect(advanceRollout({ ...begin, upstreams: registered(TARGET) }).phase).toBe("completed");
    const alone = { ...begin, upstreams: registered(OLD) };
    const waiting = advanceRollout(alone);
    expect([waiting.phase, waiting.share]).toEqual(["canary", 0]);
    expect(advanceRollout({ ...alone, state: waiting, nowMs: 11_000 })).toBe(waiting);
    expect(advanceRollout({ ...alone, state: waiting, nowMs: 11_500 })).toMatchObject({
        phase: "rolled-back",
        reason: "the target has no upstream",
    });
});

test("the deadline counts from the time at which the order was seen, also if there was no duty holder then", () => {
    const late = advanceRollout({ ...begin, evidence: [{ atMs: 500, rows: [] }], nowMs: 4_500 });
    expect([late.startedAtMs, late.deadlineMs]).toEqual([500, 12_500]);
});

test("a second order excludes the first target, unless it was completed or is ordered again", () => {
    const second = { ...begin, order: { ...order, orderId: createRolloutOrderId(1, 10), target: NEXT }, upstreams };
    const states = (["ramp", "rolled-back", "completed"] as const).map(phase => at(phase, 0));
    expect(states.map(state => advanceRollout({ ...second, state }).excluded)).toEqual([[TARGET], [], []]);
    const next = advanceRollout({ ...second, state: canary });
    // Back to the only version that is not excluded: it carries the traffic, so nothing is to be observed.
    const back = { ...order, orderId: createRolloutOrderId(2, 1), target: OLD };
    expect(advanceRollout({ ...second, state: next, order: back })).toMatchObject({
        phase: "promoting",
        excluded: [TARGET, NEXT],
    });
    expect(advanceRollout({ ...second, order, state: next })).toBe(next);
    const gate = createGate();
    gate.update({ ...knowledge, order: second.order, upstreams, state: at("promoting", 1) });
    expect(gate.ruleFor(first)).toEqual({ kind: "except", versions: new Set([TARGET, NEXT]) });
});

test("states are ordered by epoch, revision and phase, and the share of a known state does not rise with its age", () => {
    const later = (["1.10", "2.1"] as RolloutState["orderId"][]).map(orderId => ({ ...canary, orderId }));
    const sorted = [canary, at("ramp", 0.2), at("promoting", 1), at("rolled-back", 0), ...later];
    expect([...sorted].reverse().sort(compareRolloutStates)).toEqual(sorted);
    const phases = fc.constantFrom<RolloutPhase>("canary", "ramp", "promoting");
    fc.assert(
        fc.property(
            phases,
            fc.double({ min: 0, max: 1, noNaN: true }),
            fc.nat(9_000),
            fc.nat(9_000),
            (phase, share, age, more) => {
                const shareAt = (stateAgeMs: number) =>
                    permittedShare({ state: at(phase, share), stateAgeMs, evidence: [], bounds: BOUNDS, nowMs: 0 });
                expect(shareAt(age)).toBeLessThanOrEqual(share);
                expect(shareAt(age + more)).toBeLessThanOrEqual(shareAt(age));
            },
        ),
        { seed: 1, numRuns: 2_000 },
    );
    const gate = createGate();
    gate.update({ ...knowledge, state: at("promoting", 1), stateAgeMs: 60_000 });
    expect([gate.shareOf(service), gate.ruleFor(first).kind]).toEqual([0, "except"]);
    gate.update({ ...knowledge, state: at("rolled-back", 0) });
    gate.update({ ...knowledge, state: at("promoting", 1) });
    expect(gate.shareOf(service)).toBe(0);
});

// Guards against an explanation for operators that spends the credit of a request, or that names another rule than it gets.
test.each<[RolloutPhase, number]>([["ramp", 0.3], ["promoting", 1], ["rolled-back", 0]])(
    "the rule of the next request can be read without a charge: %s",
    (phase, share) => {
        const [gate, other] = [createGate(), createGate()];
        [gate, other].forEach(each => each.update({ ...knowledge, state: at(phase, share) }));
        const expected = Array.from({ length: 12 }, () => other.ruleFor(first));
        const read = expected.map(() => {
            const peeked = [gate.peekRule(service), gate.peekRule(service)];
            const rule = gate.ruleFor(first);
            expect(peeked).toEqual([rule, rule]);
            return rule;
        });
        expect(read).toEqual(expected);
    },
);

test("82 hosts with a few requests each send the share to the same few upstreams", () => {
    const rules = Array.from({ length: 82 }, (_unused, index) => {
        const gate = createGate(`h${index}`);
        gate.update({ ...knowledge, state: at("ramp", 0.1) });
        return Array.from({ length: 7 }, () => gate.ruleFor(first));
    }).flat();
    const selected = rules.flatMap(rule => rule.kind === "only" ? [rule.upstreamIds] : []);
    expect(Math.abs(selected.length - 57.4)).toBeLessThan(12);
    const ids = registered(TARGET).map(({ upstreamId }) => upstreamId);
    expect(selected.every(set => set?.size === 2)).toBe(true);
    expect(selected[0]).toEqual(selectCanaryUpstreams(hasher, order.orderId, ids.reverse(), 0.1));
});

test("resumed streams are charged, and after a roll-back the target receives nothing", () => {
    const gate = createGate();
    gate.update({ ...knowledge, state: at("ramp", 0.5) });
    const count = (number: number) =>
        Array.from({ length: number }, () => gate.ruleFor(first)).filter(({ kind }) => kind === "only").length;
    expect(count(1_000)).toBe(500);
    expect(gate.ruleFor(resume)).toMatchObject({ kind: "only", version: TARGET });
    expect(count(100)).toBe(49);
    expect(gate.ruleFor({ kind: "retry", service })).toEqual({ kind: "except", versions: new Set([TARGET]) });
    gate.update({ ...knowledge, state: { ...at("rolled-back", 0), excluded: [TARGET] } });
    expect([first, resume].map(request => gate.ruleFor(request))).toEqual(
        Array(2).fill({ kind: "except", versions: new Set([TARGET]) }),
    );
});

test("the own evidence stops a host while neither state nor store answer", () => {
    const gate = createGate();
    Array.from({ length: 12 }, (_unused, index) => {
        const row = {
            service,
            route: "/r",
            slow: 0,
            version: TARGET,
            sent: index * 20,
            answers: index * 20,
            failures: index * 10,
        };
        gate.update({
            ...knowledge,
            state: at("promoting", 1),
            evidence: [row],
            nowMs: index * 500,
            stateAgeMs: index * 500,
        });
    });
    expect([gate.shareOf(service), gate.ruleFor(first)]).toEqual([0, { kind: "except", versions: new Set([TARGET]) }]);
});
