import { type CallerAttempt, checkRecords, type HostRun, type SoakRecords, type UpstreamRun } from "../src";

const bounds = { inForceMs: 2_500, leavingMs: 2_500, contactMs: 4_000 };

const expectedBody = (requestId: string): string => `answer of ${requestId}`;

const attempt = (fields: Partial<CallerAttempt> = {}): CallerAttempt => ({
    requestId: "r1",
    hostName: "host-1",
    hostStart: 1,
    routeName: "order",
    kind: "once",
    accountId: "acme",
    sentAtMs: 20_000,
    endedAtMs: 20_100,
    takenUp: undefined,
    crashCause: undefined,
    status: 200,
    signature: "u1",
    answeredId: fields.requestId ?? "r1",
    body: expectedBody(fields.requestId ?? "r1"),
    isComplete: true,
    hasLeft: false,
    ...fields,
});

const run = (fields: Partial<UpstreamRun> = {}): UpstreamRun => ({
    requestId: "r1",
    upstreamId: "u1",
    service: "moving-0",
    softwareVersion: "v1",
    atMs: 20_050,
    accountId: "acme",
    firstEvent: 1,
    isFaithful: true,
    ...fields,
});

const hostRun = (fields: Partial<HostRun> = {}): HostRun => ({
    hostName: "host-1",
    startedAtMs: 0,
    peakMemoryBytes: 100_000_000,
    maximumMemoryBytes: 350_000_000,
    end: { atMs: 30_000, code: 0, signal: undefined, isOrdered: true, lastLines: [] },
    ...fields,
});

const records = (fields: Partial<SoakRecords> = {}): SoakRecords => ({
    attempts: [attempt()],
    runs: [run()],
    changes: [{ version: 4, acceptedAtMs: 0, movingService: "moving-0" }],
    leaving: [],
    crashes: [],
    limits: [],
    brittlePeriods: [],
    cuts: [],
    rejectionCrashes: [],
    usage: [],
    disturbances: [],
    hostRuns: [hostRun()],
    calmSinceMs: 1_000,
    ...fields,
});

/** Further served requests, so that one refused request stays below the threshold of the recovery check. */
const others = Array.from({ length: 20 }, (_, index) => `other-${index}`);

const violatedChecks = (
    { attempts = [attempt()], runs = [run()], ...fields }: Partial<SoakRecords>,
): readonly string[] =>
    checkRecords(
        records({
            ...fields,
            attempts: [
                ...attempts,
                ...others.map(requestId => attempt({ requestId, signature: "u9", sentAtMs: 15_000 })),
            ],
            runs: [...runs, ...others.map(requestId => run({ requestId, upstreamId: "u9", atMs: 15_050 }))],
        }),
        expectedBody,
        bounds,
    ).map(({ check }) => check);

test("reports no violation for a request that ran once and was answered completely", () => {
    expect(violatedChecks({})).toEqual([]);
});

test.each<[string, Partial<SoakRecords>]>([
    ["process-end", {
        hostRuns: [hostRun({ end: { atMs: 9, code: 1, signal: undefined, isOrdered: false, lastLines: [] } })],
    }],
    ["memory", { hostRuns: [hostRun({ peakMemoryBytes: 351_000_000 })] }],
    ["whole-answer", { attempts: [attempt({ body: "answer of another" })] }],
    ["part-of-answer", {
        attempts: [attempt(), attempt({ requestId: "r2", body: "other", isComplete: false })],
        runs: [
            run(),
            run({ requestId: "r2" }),
        ],
    }],
    ["own-answer", { attempts: [attempt({ answeredId: "r2" })] }],
    ["signed-answer", { attempts: [attempt({ signature: "u2" })] }],
    ["not-run", {
        attempts: [attempt(), attempt({ requestId: "r2", status: 503 })],
        runs: [
            run(),
            run({ requestId: "r2" }),
        ],
    }],
    ["at-most-once", { runs: [run(), run({ upstreamId: "u2" })] }],
    ["own-account", { runs: [run({ accountId: "beta" })] }],
    ["faithful", { runs: [run({ isFaithful: false })] }],
    ["accepted", { attempts: [attempt(), attempt({ requestId: "r2", status: 401, signature: undefined })] }],
    ["asked", { runs: [run(), run({ requestId: "r9" })] }],
    ["leaving", { leaving: [{ upstreamId: "u1", acceptedAtMs: 10_000 }] }],
    ["in-force", {
        changes: [
            { version: 4, acceptedAtMs: 0, movingService: "moving-0" },
            { version: 5, acceptedAtMs: 16_000, movingService: "moving-1" },
        ],
    }],
    ["one-count", {
        usage: [1, 2].map(count => ({ window: 7, holder: "host-1", fencingNumber: 1, counts: `${count}` })),
    }],
    ["one-holder", {
        usage: [1, 2].map(index => ({ window: index, holder: `host-${index}`, fencingNumber: 1, counts: "1" })),
    }],
])("reports a violation of %s", (check, fields) => {
    expect(violatedChecks(fields)).toEqual([check]);
});

test("reports a recovery violation when requests are refused long after the last fault", () => {
    const refused = attempt({ status: 503, signature: undefined, body: "" });
    const found = checkRecords(records({ attempts: [refused], runs: [] }), expectedBody, bounds);
    expect(found.map(({ check }) => check)).toEqual(["recovery"]);
});

test("reports a version regression within one host process but not across a restart", () => {
    const changes = [
        { version: 4, acceptedAtMs: 0, movingService: "moving-0" },
        { version: 5, acceptedAtMs: 19_000, movingService: "moving-1" },
    ];
    const attempts = (hostStart: number): CallerAttempt[] => [
        attempt({ sentAtMs: 20_000 }),
        attempt({ requestId: "r2", hostStart, sentAtMs: 20_600, endedAtMs: 20_700 }),
    ];
    const runs = [run({ service: "moving-1" }), run({ requestId: "r2", atMs: 20_650 })];
    expect(violatedChecks({ attempts: attempts(1), runs, changes })).toEqual(["no-regression"]);
    expect(violatedChecks({ attempts: attempts(2), runs, changes })).toEqual([]);
});

test("skips time-dependent checks for a host that was disturbed shortly before", () => {
    const disturbances = [{ hostName: "host-1", kind: "pause-host", fromMs: 15_000, untilMs: 17_000 }];
    expect(violatedChecks({ leaving: [{ upstreamId: "u1", acceptedAtMs: 16_500 }], disturbances })).toEqual([]);
});

test("reports hosts that serve their callers far worse while they reach few upstreams, unless the others are cut off too", () => {
    const cut = { hostNames: new Set(["host-2"]), fromMs: 10_000, untilMs: 30_000 };
    const attemptsOf = (hostName: string, served: number) =>
        Array.from(
            { length: 40 },
            (_, index) =>
                attempt({
                    requestId: `${hostName}-${index}`,
                    hostName,
                    kind: "repeatable",
                    status: index < served ? 200 : 503,
                }),
        );
    const checksOf = (served: number, cuts = [cut]) =>
        violatedChecks({ cuts, attempts: [...attemptsOf("host-1", 40), ...attemptsOf("host-2", served)] });
    expect(checksOf(26)).toContain("cut-off");
    expect(checksOf(28)).not.toContain("cut-off");
    expect(checksOf(0, [cut, { ...cut, hostNames: new Set(["host-1"]) }])).not.toContain("cut-off");
});

test.each([["part", 5], ["request", 3]] as const)(
    "reports requests that reach upstreams after the same %s has crashed %d of them",
    (kind, maximum) => {
        const crashing = Array.from({ length: 4 }, (_, index) => `crashing-${index}`);
        const cause = { kind, name: "p" };
        const crashes = Array.from({ length: maximum }, (_, index) => ({
            cause,
            upstreamId: `u${index}`,
            atMs: 5_000 - (maximum - 1 - index) * 1_000,
        }));
        const observed = (atMs: number): SoakRecords =>
            records({
                attempts: [...others, ...crashing].map(requestId =>
                    attempt({ requestId, crashCause: crashing.includes(requestId) ? cause : undefined })
                ),
                runs: [...others, ...crashing].map(requestId => run({ requestId, atMs })),
                crashes,
            });
        const checksOf = (atMs: number): readonly string[] =>
            checkRecords(observed(atMs), expectedBody, bounds).map(({ check }) => check);
        expect(checksOf(9_500)).toContain(`crashing-${kind}`);
        expect(checksOf(8_500)).not.toContain(`crashing-${kind}`);
    },
);

test("reports upstreams that get more requests than the limit that they state", () => {
    const requestIds = Array.from({ length: 12 }, (_, index) => `limited-${index}`);
    const checksOf = (count: number): readonly string[] =>
        checkRecords(
            records({
                attempts: [...others, ...requestIds].map(requestId => attempt({ requestId })),
                runs: requestIds.slice(0, count).map((requestId, index) =>
                    run({ requestId, upstreamId: "limited", atMs: 20_000 + index * 300 })
                ),
                limits: [{ upstreamId: "limited", limitPerS: 1, fromMs: 10_000, untilMs: 30_000 }],
            }),
            expectedBody,
            bounds,
        ).map(({ check }) => check);
    expect(checksOf(12)).toContain("limit");
    expect(checksOf(11)).not.toContain("limit");
});

test("reports brittle upstreams that crash more often than they may once hosts had time to react", () => {
    const brittlePeriods = [{ fromMs: 10_000, untilMs: 30_000, upstreamCount: 9 }];
    const checksOf = (atMs: number): readonly string[] =>
        violatedChecks({
            brittlePeriods,
            rejectionCrashes: ["a", "b", "c"].map(upstreamId => ({ upstreamId, atMs })),
        });
    expect(checksOf(20_000)).toContain("brittle");
    expect(checksOf(10_100)).not.toContain("brittle");
});

test.each([["in one answer", undefined], ["at another attempt", { requestId: "r1", lastEventId: 3 }]])(
    "reports a stream that goes on at another software version, %s",
    (_, takenUp) => {
        const requestId = takenUp === undefined ? "r1" : "r2";
        const checksFor = (softwareVersion: string): readonly string[] =>
            violatedChecks({
                attempts: [
                    attempt({ kind: "resumable-stream" }),
                    ...takenUp === undefined ? [] : [attempt({ requestId, takenUp, kind: "resumable-stream" })],
                ],
                runs: [run(), run({ requestId, softwareVersion, firstEvent: 4, atMs: 20_060 })],
            });
        expect(checksFor("v2")).toContain("stream-version");
        expect(checksFor("v1")).not.toContain("stream-version");
    },
);
