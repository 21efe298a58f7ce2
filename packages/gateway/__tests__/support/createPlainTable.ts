import { createFakeClock, createHasher } from "@ibislanding/core";
import { createUpstreamTable, type UpstreamTableOptions } from "../../src";

/** Creates a table of plain upstreams of a host that has no peers. */
export const createPlainTable = async (options: Pick<UpstreamTableOptions, "inForceMs" | "listAgeMs">) => {
    const clock = createFakeClock();
    const table = createUpstreamTable({
        sharedNowMs: () => 0,
        ownAddress: "self",
        hostAddresses: () => ["self"],
        clock,
        hasher: await createHasher(),
        peerTimeoutMs: () => 1_500,
        unobservedShare: () => 1,
        serviceOf: () => undefined,
        onPlaced: () => undefined,
        ...options,
    });
    return { clock, table };
};
