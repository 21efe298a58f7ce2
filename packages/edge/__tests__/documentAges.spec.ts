// Guards against an old list that is taken for a current one: by an age that can't be one, by a peer that has no list, or by a report
// that was under way for an unknown time.
import { createFakeClock } from "@ibislanding/core";
import { createDocumentAges } from "../src/createDocumentAges";
import { decodeHostReport } from "../src/decodeHostReport";

const SETS = ["upstreams"];

const encode = (fields: object): string =>
    JSON.stringify({
        hostId: "host-1.1",
        hostName: "host-1",
        address: "127.0.0.1:1",
        collectorId: "",
        sequence: 1,
        wallMs: 0,
        isInContact: true,
        hostCount: 1,
        oldestMs: 0,
        positions: { upstreams: [1, 7] },
        loads: [],
        accounts: [],
        levels: [],
        began: [],
        work: [],
        leaving: [],
        usageRecords: [],
        limits: [],
        versions: [],
        quarantine: { suspects: [], cleared: [], quarantined: [] },
        ...fields,
    });

/** Lets a peer answer with a newer list in each round, which the host fetches 50 ms later; returns the age after each round. */
const agesWhileListChanges = async (
    fetchedRevisionOf: (revision: number) => number,
): Promise<readonly number[]> => {
    const clock = createFakeClock();
    const ages = createDocumentAges(clock, SETS);
    const agesMs: number[] = [];
    for (const revision of [7, 8, 9]) {
        await clock.advance(800);
        const report = decodeHostReport(encode({ ages: { upstreams: 300 }, positions: { upstreams: [1, revision] } }));
        ages.supersede(SETS);
        ages.observePeer(report ?? { positions: {} }, 100, SETS);
        await clock.advance(50);
        ages.reach("upstreams", { epoch: 1, revision: fetchedRevisionOf(revision) });
        agesMs.push(ages.ageMs("upstreams"));
    }
    return agesMs;
};

test.each([[0], [3]])(
    "a newer list that was fetched is as old as the peer said, also if it has %i revisions more",
    async more => {
        expect(await agesWhileListChanges(revision => revision + more)).toEqual([450, 450, 450]);
    },
);

test.each([[-1], [-7]])("a fetched list of an earlier revision than the peer's (%i) confirms nothing", async more => {
    expect(await agesWhileListChanges(revision => Math.min(6, revision + more))).toEqual([
        Infinity,
        Infinity,
        Infinity,
    ]);
});

test("each newer list counts by the latest answer that stated it, whichever is fetched", () => {
    const clock = createFakeClock();
    const ages = createDocumentAges(clock, SETS);
    const observe = (revision: number, agoMs: number): void =>
        ages.observePeer({ positions: { upstreams: [1, revision] }, ages: { upstreams: 0 } }, agoMs, SETS);
    observe(8, 500);
    observe(8, 200);
    observe(8, 400);
    observe(9, 10);
    ages.reach("upstreams", { epoch: 1, revision: 8 });
    expect(ages.ageMs("upstreams")).toBe(200);
    ages.reach("upstreams", { epoch: 1, revision: 9 });
    expect(ages.ageMs("upstreams")).toBe(10);
});

const ageAfter = (fields: object): number => {
    const ages = createDocumentAges(createFakeClock(), SETS);
    const report = decodeHostReport(encode(fields));
    if (report !== undefined) {
        ages.observePeer(report, 50, []);
    }
    return ages.ageMs("upstreams");
};

test("a peer's age counts with the time that its report took", () => {
    expect(ageAfter({ ages: { upstreams: 300 } })).toBe(350);
});

test.each([-1, -1e9, null, "0", Number.MAX_VALUE, [], {}, true, 0.5])("an age of %j confirms nothing", age => {
    expect(ageAfter({ ages: { upstreams: age } })).toBe(Infinity);
});

test.each([[[1, 0]], [[1, -7]], [[-1, 7]], [["1", "7"]], [[1]], [[]]])(
    "an age with the position %j confirms nothing, and the report counts otherwise",
    position => {
        expect(decodeHostReport(encode({ positions: { upstreams: position } }))).toBeDefined();
        expect(ageAfter({ ages: { upstreams: 10 }, positions: { upstreams: position } })).toBe(Infinity);
    },
);

test.each([[[]], [null], [5], ["upstreams"]])("ages of the form %j are none", ages => {
    expect(ageAfter({ ages })).toBe(Infinity);
});

test.each([null, 7, {}])("a report whose position is %j confirms nothing", position => {
    expect(ageAfter({ ages: { upstreams: 10 }, positions: { upstreams: position } })).toBe(Infinity);
});
