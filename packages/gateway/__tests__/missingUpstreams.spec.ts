// Guards against requests to an upstream that left without a notice later than the time within which its departure must be known: how
// long it is kept must not come on top of how late this host hears of it.
import type { ServiceName } from "@ibislanding/core";
import { createPlainTable } from "./support/createPlainTable";
import { plainRequest } from "./support/plainRequest";
import { createRecord } from "./support/startTestGateway";

const service = "orders" as ServiceName;

/** Returns how long an upstream is a candidate after the last list that had it, if the next one comes after the given time. */
const keptMs = async (inForceMs: number, listAgeMs: number): Promise<number> => {
    const { clock, table } = await createPlainTable({ inForceMs });
    const staying = createRecord("u-1", 1);
    table.replace([staying, createRecord("u-2", 2)]);
    await clock.advance(listAgeMs);
    table.replace([staying], listAgeMs);
    while (table.candidates(service, plainRequest).length > 1) {
        await clock.advance(10);
    }
    return clock.monotonicMs();
};

test.each([[2_500, 0], [2_500, 1_200], [2_500, 2_000], [4_000, 2_000], [4_000, 3_000]])(
    "within a bound of %i ms, an upstream that is missing from a list %i ms later is kept no longer",
    async (inForceMs, listAgeMs) => {
        expect(await keptMs(inForceMs, listAgeMs)).toBeLessThanOrEqual(inForceMs + 10);
    },
);

test("entries that expired while the registry was away are kept until they can be back", async () => {
    expect(await keptMs(2_500, 6_000)).toBeGreaterThanOrEqual(6_000 + 1_800);
});
