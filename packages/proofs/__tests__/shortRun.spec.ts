import { runProof } from "@ibislanding/proofs";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** A short run against the built programs; the time-dependent checks are disabled. */
describe("runProof under faults", () => {
    it("reports no violations", async () => {
        const result = await runProof({
            seed: 5,
            durationMs: 8_000,
            faults: ["stop-entry", "kill-engine", "key-value-lost-answers", "service-lost-answers", "reclaim-engine"],
            outageMs: 1_000,
            chatCallers: 3,
            actionCallers: 2,
            operators: 1,
            inForceMs: undefined,
            leavingMs: undefined,
            distDirectory: join(__dirname, "../../../dist"),
            reportDirectory: mkdtempSync(join(tmpdir(), "ibis-proof-")),
        });
        expect(result.violations).toEqual([]);
        expect(result.uncleanStops).toEqual([]);
        expect(result.totals.operations["chat ok"]).toBeGreaterThan(0);
        expect(result.totals.operations["action ok"]).toBeGreaterThan(0);
    }, 180_000);
});
