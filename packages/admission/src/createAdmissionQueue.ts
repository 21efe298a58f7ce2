import type { AccountId } from "@ibislanding/core";
import type { AdmissionQueue } from "./admissionQueue";
import type { AdmissionQueueOptions } from "./admissionQueueOptions";
import type { WaitingRequest } from "./waitingRequest";

/** Time constant with which units that this queue released are forgotten: the rates of all hosts contain them then. */
const TIME_CONSTANT_MS = 1_000;

interface Released {
    readonly units: number;
    readonly atMs: number;
}

/** Returns the index of the first request that is due later. */
const findPlace = (requests: readonly WaitingRequest[], dueAtMs: number): number => {
    let low = 0;
    let high = requests.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if ((requests[middle]?.dueAtMs ?? 0) <= dueAtMs) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
};

/** Creates an empty queue. */
export const createAdmissionQueue = <T extends WaitingRequest>(
    { clock, servedUnitsPerS }: AdmissionQueueOptions,
): AdmissionQueue<T> => {
    /** By urgency and account, earliest deadline first; without empty entries. */
    const queues = new Map<number, Map<AccountId | "", T[]>>();
    const released = new Map<AccountId | "", Released>();
    let size = 0;

    const releasedUnits = (accountId: AccountId | ""): number => {
        const known = released.get(accountId);
        return known === undefined
            ? 0
            : known.units * Math.exp((known.atMs - clock.monotonicMs()) / TIME_CONSTANT_MS);
    };

    const remove = (request: T): boolean => {
        const accounts = queues.get(request.urgency);
        const requests = accounts?.get(request.accountId);
        // The last of those with the same deadline is directly before the place of the next one.
        const last = findPlace(requests ?? [], request.dueAtMs) - 1;
        const index = requests?.lastIndexOf(request, last) ?? -1;
        if (accounts === undefined || requests === undefined || last < 0 || index < 0) {
            return false;
        }
        requests.splice(index, 1);
        size--;
        if (requests.length === 0) {
            accounts.delete(request.accountId);
        }
        if (accounts.size === 0) {
            queues.delete(request.urgency);
        }
        return true;
    };

    return {
        add: request => {
            const accounts = queues.get(request.urgency) ?? new Map<AccountId | "", T[]>();
            const requests = accounts.get(request.accountId) ?? [];
            requests.splice(findPlace(requests, request.dueAtMs), 0, request);
            accounts.set(request.accountId, requests);
            queues.set(request.urgency, accounts);
            size++;
        },
        first: () => {
            const accounts = queues.get(Math.min(...queues.keys()));
            let least: { readonly units: number; readonly request: T | undefined; } | undefined;
            accounts?.forEach(([request], accountId) => {
                const units = servedUnitsPerS(accountId) + releasedUnits(accountId);
                const isEarlier = (request?.dueAtMs ?? 0) < (least?.request?.dueAtMs ?? 0);
                if (least === undefined || units < least.units || units === least.units && isEarlier) {
                    least = { units, request };
                }
            });
            return least?.request;
        },
        release: request => {
            if (remove(request)) {
                const { accountId, units } = request;
                released.set(accountId, { units: releasedUnits(accountId) + units, atMs: clock.monotonicMs() });
            }
        },
        remove: request => void remove(request),
        size: () => size,
    };
};
