import { type AccountId, type RequestId, type ServiceName, type SoftwareVersion } from "@ibislanding/core";
import type { StreamOriginMessage, StreamOriginReply } from "@ibislanding/discovery";
import { STREAM_LIFETIME_MS, type StreamOrigin } from "@ibislanding/gateway";
import { rankHosts } from "./rankHosts";
import type { StreamOriginStore } from "./streamOriginStore";
import type { StreamOriginStoreOptions } from "./streamOriginStoreOptions";

/**
 * Hosts that remember an origin besides the one that serves the stream. One more is asked, as hosts that disagree on who is
 * live find different ones.
 */
const HOLDERS = 3;
const ASKED_HOSTS = HOLDERS + 1;

/** Time for which the first event of a stream waits until another host knows the origin. */
const RECORD_TIMEOUT_MS = 200;

/** Time for which other replies are awaited once a host knows the stream: it may know an earlier attempt only. */
const OTHER_REPLIES_WAIT_MS = 60;

/**
 * Time since the list of upstreams was confirmed within which it counts as having all versions, if the hosts that would know of
 * another one do not answer.
 */
const CURRENT_WITHIN_MS = 1_000;

/** Origins that are remembered; the oldest are dropped. */
const MAXIMUM_ORIGINS = 10_000;

const toMessage = ({ accountId, ...origin }: StreamOrigin): StreamOriginMessage => ({
    ...origin,
    accountId: accountId ?? "",
});

const fromMessage = (
    { requestId, accountId, service, softwareVersion, attempt }: StreamOriginMessage,
): StreamOrigin => ({
    requestId: requestId as RequestId,
    accountId: accountId === "" ? undefined : accountId as AccountId,
    service: service as ServiceName,
    softwareVersion: softwareVersion as SoftwareVersion,
    attempt,
});

const keyOf = (requestId: string, accountId: string | undefined): string => `${requestId} ${accountId ?? ""}`;

/**
 * Replies that show what is known of a stream: one host may be gone, as another holder is among those that are left, but a host that
 * reaches few of the others may be cut off from them.
 */
const requiredReplies = (askedHosts: number): number => Math.max(askedHosts - 1, Math.floor(askedHosts / 2) + 1);

/** Resolves with the first of the replies that has an origin; undefined if all have ended without one. */
const findFirst = (calls: readonly Promise<StreamOriginReply | undefined>[]): Promise<unknown> =>
    Promise.any(calls.map(async call => (await call)?.origin ?? Promise.reject(new Error("not known")))).catch(() =>
        undefined
    );

/** Resolves when so many hosts have replied; never if they don't. */
const waitForReplies = (calls: readonly Promise<StreamOriginReply | undefined>[], count: number): Promise<void> =>
    new Promise(resolve => {
        let replies = 0;
        calls.forEach(call =>
            void call.then(reply => {
                replies += reply === undefined ? 0 : 1;
                if (replies >= count) {
                    resolve();
                }
            })
        );
    });

/**
 * Creates a store without origins.
 *
 * Handles clients that take up their streams at any host while hosts are killed, also at once after the first event. The
 * hosts that remember a stream are found by rendezvous hashing of its id, so that none has to know all of them.
 */
export const createStreamOriginStore = (options: StreamOriginStoreOptions): StreamOriginStore => {
    const { clock, hasher, ownAddress, hostAddresses, exchange, versionsOf, areVersionsRead, onUnrecorded } = options;
    const { confirmedAgeMs, hasPeers } = options;
    const origins = new Map<string, { readonly origin: StreamOrigin; readonly atMs: number; }>();
    const startedAtMs = clock.monotonicMs();

    const uptimeMs = (): number => clock.monotonicMs() - startedAtMs;

    const holdersOf = (requestId: string, count: number): readonly string[] =>
        rankHosts(hasher, requestId, hostAddresses().filter(address => address !== ownAddress)).slice(0, count);

    const store = (origin: StreamOrigin): void => {
        const nowMs = clock.monotonicMs();
        const key = keyOf(origin.requestId, origin.accountId);
        const known = origins.get(key)?.origin;
        const newest = known === undefined || known.attempt <= origin.attempt ? origin : known;
        origins.delete(key);
        origins.set(key, { origin: newest, atMs: nowMs });
        const [oldest] = origins;
        if (oldest !== undefined && (origins.size > MAXIMUM_ORIGINS || nowMs - oldest[1].atMs > STREAM_LIFETIME_MS)) {
            origins.delete(oldest[0]);
        }
    };

    const localOrigin = (requestId: string, accountId: string | undefined): StreamOrigin | undefined => {
        const known = origins.get(keyOf(requestId, accountId));
        return known === undefined || clock.monotonicMs() - known.atMs > STREAM_LIFETIME_MS ? undefined : known.origin;
    };

    return {
        record: async origin => {
            store(origin);
            const message = toMessage(origin);
            const calls = holdersOf(origin.requestId, HOLDERS).map(async address => {
                const result = await exchange()?.recordStreamOrigin(address, message);
                return result?.ok === true || Promise.reject(new Error("not recorded"));
            });
            if (calls.length === 0) {
                return;
            }
            const recorded = Promise.any(calls).catch(() => false);
            const isRecorded = await Promise.race([recorded, clock.sleep(RECORD_TIMEOUT_MS).then(() => false)]);
            if (!isRecorded) {
                // The stream begins all the same; a client that takes it up elsewhere may be refused.
                onUnrecorded(origin);
            }
        },
        find: async (requestId = "" as RequestId, accountId, service) => {
            const own = {
                origin: localOrigin(requestId, accountId),
                recordedForMs: 0,
                uptimeMs: uptimeMs(),
                areVersionsComplete: areVersionsRead() || uptimeMs() >= STREAM_LIFETIME_MS,
                areVersionsCurrent: !hasPeers() || confirmedAgeMs() <= CURRENT_WITHIN_MS,
                peerVersions: [],
            };
            const isOnlyVersion = uptimeMs() >= STREAM_LIFETIME_MS && versionsOf(service).length === 1;
            if (isOnlyVersion && !hasPeers()) {
                return own;
            }
            const query = { requestId, accountId: accountId ?? "", service };
            const replies: StreamOriginReply[] = [];
            const calls = holdersOf(requestId, ASKED_HOSTS).map(async address => {
                const result = await exchange()?.findStreamOrigin(address, query);
                if (result?.ok !== true) {
                    return undefined;
                }
                replies.push(result.val);
                return result.val;
            });
            const areAllEnded = Promise.all(calls);
            const areEnough = isOnlyVersion ? [waitForReplies(calls, requiredReplies(calls.length))] : [];
            await (own.origin === undefined ? Promise.race([findFirst(calls), ...areEnough]) : undefined);
            await Promise.race([areAllEnded, clock.sleep(OTHER_REPLIES_WAIT_MS)]);
            const told = replies.flatMap(reply => reply.origin === undefined ? [] : [fromMessage(reply.origin)]);
            const known = own.origin === undefined ? told : [own.origin, ...told];
            const [newest] = known.sort((left, right) => right.attempt - left.attempt);
            return {
                ...own,
                origin: newest,
                recordedForMs: replies.length === calls.length
                    ? Math.min(uptimeMs(), ...replies.map(reply => Number(reply.uptimeMs)))
                    : 0,
                areVersionsCurrent: own.areVersionsCurrent || replies.length >= requiredReplies(calls.length),
                areVersionsComplete: own.areVersionsComplete
                    || replies.some(reply => Number(reply.uptimeMs) >= STREAM_LIFETIME_MS),
                peerVersions: replies.flatMap(({ softwareVersions }) => softwareVersions as SoftwareVersion[]),
            };
        },
        remember: message => store(fromMessage(message)),
        reply: ({ requestId, accountId, service }) => {
            const origin = localOrigin(requestId, accountId);
            return {
                origin: origin === undefined ? undefined : toMessage(origin),
                uptimeMs: Math.round(uptimeMs()),
                softwareVersions: versionsOf(service as ServiceName).map(({ softwareVersion }) => softwareVersion),
            };
        },
    };
};
