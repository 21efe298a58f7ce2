import { createRandom, createSystemClock, type OperationId, type Revision } from "@ibislanding/core";
import { createFakeKeyValueStore } from "@ibislanding/platform";
import type { ConfigurationChange, ConfigurationDocument } from "@ibislanding/resources";
import { createKeyValueAuditArchive } from "../src/ports/createKeyValueAuditArchive";
import { startTestAdmin } from "./startTestAdmin";

const WINDOW = 128;
const RUN_LENGTH = 300;
const SEED = 20261203;

const change = (revision: number): ConfigurationChange => ({
    operationId: `op-${revision}` as OperationId,
    revision: revision as Revision,
    changedBy: "root",
    changedAtMs: revision,
    contentSha256: "",
    resources: [],
});

/** The document at a revision, with the changes that it still lists. */
const documentAt = (revision: number): ConfigurationDocument => ({
    revision: revision as Revision,
    resources: [],
    recentChanges: Array.from({ length: revision }, (_, index) => change(index + 1)).slice(-WINDOW),
});

describe("audit archive", () => {
    it("contains every change once despite process failures, outages and lost responses", async () => {
        const random = createRandom(SEED);
        const store = createFakeKeyValueStore(createSystemClock());
        let archives = [createKeyValueAuditArchive(store), createKeyValueAuditArchive(store)];
        for (let revision = 1; revision <= RUN_LENGTH; revision++) {
            store.setUnavailable(random.nextFloat() < 0.2);
            store.dropResponses(random.nextInt(2));
            const skipped = random.nextFloat() < 0.2;
            await Promise.all(skipped ? [] : archives.map(archive => archive.archive(documentAt(revision))));
            archives = random.nextFloat() < 0.1 ? [createKeyValueAuditArchive(store), ...archives.slice(1)] : archives;
        }
        store.setUnavailable(false);
        store.dropResponses(0);
        await archives[0]?.archive(documentAt(RUN_LENGTH));
        const range = { beforeRevision: RUN_LENGTH + 1, afterRevision: 0, limit: RUN_LENGTH };
        const read = (await archives[1]?.read(range))?.unwrap() ?? [];
        expect(read.map(({ revision }) => revision)).toEqual(
            Array.from({ length: RUN_LENGTH }, (_, index) => RUN_LENGTH - index),
        );
        const part = { beforeRevision: 150, afterRevision: 120, limit: 10 };
        expect((await archives[1]?.read(part))?.unwrap().map(({ revision }) => revision)).toEqual(
            Array.from({ length: 10 }, (_, index) => 149 - index),
        );
    });

    it("returns changes that the document no longer lists", async () => {
        await using admin = await startTestAdmin();
        const path = "/v1/resources/Service/payments";
        for (let count = 1; count <= WINDOW + 5; count++) {
            await admin.call("PUT", path, { team: "billing", spec: { type: "plain", timeoutMs: count } });
        }
        const { body } = await admin.call("GET", "/v1/audit?limit=1000");
        expect(body.changes.map(({ revision }) => revision)).toEqual(
            Array.from({ length: WINDOW + 5 }, (_, index) => WINDOW + 5 - index),
        );
    });
});
