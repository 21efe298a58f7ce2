// Guards against requests to an upstream that may have announced its departure while this host could not hear of it, though others
// have just shown that they stay; and against a refusal because of that.
import { createRandom, type ServiceName, type UpstreamId } from "@ibislanding/core";
import { chooseUpstream } from "../src";
import { createPlainTable } from "./support/createPlainTable";
import { plainRequest } from "./support/plainRequest";
import { createRecord } from "./support/startTestGateway";

const service = "orders" as ServiceName;

const IN_FORCE_MS = 2_500;

const createTable = async () => {
    const list = { ageMs: 0 };
    const { clock, table } = await createPlainTable({ inForceMs: IN_FORCE_MS, listAgeMs: () => list.ageMs });
    const records = [createRecord("u-1", 1), createRecord("u-2", 2), createRecord("u-3", 3)];
    table.replace(records);
    const random = createRandom(1);
    const place = (): string => {
        const decision = chooseUpstream(table.candidates(service, plainRequest), plainRequest, random.nextFloat());
        if (decision.kind === "refuse") {
            return decision.reason;
        }
        table.trackRequest(decision.upstream.upstreamId, plainRequest);
        return decision.upstream.upstreamId;
    };
    const placeMany = (count: number): readonly string[] => Array.from({ length: count }, place);
    return { clock, list, table, records, placeMany };
};

test("while its list is outdated, a host prefers upstreams that have answered since, and uses the others before it refuses", async () => {
    const { clock, list, table, records: [, second], placeMany } = await createTable();
    list.ageMs = IN_FORCE_MS + 1;
    await clock.advance(IN_FORCE_MS + 1);
    table.confirmServing(second ?? { upstreamId: "" as UpstreamId, startedAtMs: 0 });
    expect(new Set(placeMany(4))).toEqual(new Set(["u-2"]));
    expect(new Set(placeMany(20))).toEqual(new Set(["u-1", "u-2", "u-3"]));
});

test("while its list is outdated and no upstream has answered, a host serves as before", async () => {
    const { clock, list, placeMany } = await createTable();
    list.ageMs = IN_FORCE_MS + 1;
    await clock.advance(IN_FORCE_MS + 1);
    expect(new Set(placeMany(20))).toEqual(new Set(["u-1", "u-2", "u-3"]));
});

test("while its list is recent, a host prefers none for its answers", async () => {
    const { list, table, records: [, second], placeMany } = await createTable();
    list.ageMs = IN_FORCE_MS / 2;
    table.confirmServing(second ?? { upstreamId: "" as UpstreamId, startedAtMs: 0 });
    expect(new Set(placeMany(6))).toEqual(new Set(["u-1", "u-2", "u-3"]));
});
