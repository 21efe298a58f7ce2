import type { Clock } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";

const HOST_FIELDS = { hostId: "host-0-0123456789", address: "10.0.0.10:7000" };

/** Creates the baseline: one key and two writes for each action. */
export const createPerKeyRunner = (store: KeyValueStore, clock: Clock) =>
async (
    accountId: string,
    key: string,
    requestSha256: string,
    send: () => Promise<string>,
): Promise<boolean> => {
    const record = { accountId, key, requestSha256, claimId: `${HOST_FIELDS.hostId}/${key}`, writer: HOST_FIELDS };
    const claimed = await store.compareAndSwap(
        { key: `actions/${accountId}/${key}`, expectedVersion: 0, value: JSON.stringify(record) },
        { cause: "experiment", timeoutMs: 500 },
    );
    if (claimed.err) {
        return false;
    }
    const answer = await send();
    await store.compareAndSwap(
        {
            key: `actions/${accountId}/${key}`,
            expectedVersion: claimed.val,
            value: JSON.stringify({ ...record, answer, endedAtMs: clock.wallMs() }),
        },
        { cause: "experiment", timeoutMs: 500 },
    );
    return true;
};
