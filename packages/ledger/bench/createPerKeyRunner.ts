import type { Clock } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";

const WRITER = { hostId: "host-0-0123456789", address: "10.0.0.10:7000" };

const RETENTION_MS = 2_000;

/** Creates the baseline for comparison: one key per action, written for its claim, its answer and its removal. */
export const createPerKeyRunner = (store: KeyValueStore, clock: Clock) =>
async (
    accountId: string,
    key: string,
    requestSha256: string,
    send: () => Promise<string>,
): Promise<boolean> => {
    const record = { accountId, key, requestSha256, claimId: `${WRITER.hostId}/${key}`, writer: WRITER };
    const claimed = await store.compareAndSwap(
        { key: `actions/${accountId}/${key}`, expectedVersion: 0, value: JSON.stringify(record) },
        { cause: "experiment", timeoutMs: 500 },
    );
    if (claimed.err) {
        return false;
    }
    const answer = await send();
    const finished = await store.compareAndSwap(
        {
            key: `actions/${accountId}/${key}`,
            expectedVersion: claimed.val,
            value: JSON.stringify({ ...record, answer, endedAtMs: clock.wallMs() }),
        },
        { cause: "experiment", timeoutMs: 500 },
    );
    void clock.sleep(RETENTION_MS).then(() =>
        store.compareAndSwap(
            { key: `actions/${accountId}/${key}`, expectedVersion: finished.unwrapOr(0), value: undefined },
            { cause: "experiment", timeoutMs: 500 },
        )
    );
    return true;
};
