import { formatTime } from "../output/formatTime";
import { renderTable } from "../output/renderTable";
import type { QuarantineResponse } from "./quarantineResponse";

/** Renders quarantined features as a table with the evidence against them. */
export const quarantineTable = ({ quarantined }: QuarantineResponse): string =>
    renderTable([
        ["FEATURE", "CRASHES", "FIRST CRASH", "LAST REFUSAL", "TRIALS", "UPSTREAMS"],
        ...quarantined.map(({ featureId, crashes, firstCrashAtMs, refusedAtMs, isConfirmed, upstreamIds }) => [
            featureId,
            String(crashes),
            formatTime(firstCrashAtMs),
            refusedAtMs === undefined ? "-" : formatTime(refusedAtMs),
            isConfirmed ? "no" : "yes",
            upstreamIds.length === 0 ? "-" : upstreamIds.join(" "),
        ]),
    ]);
