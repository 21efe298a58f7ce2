import type { RandomSource } from "@ibislanding/core";
import { setTimeout as sleep } from "node:timers/promises";
import type { SoakWorld } from "../faults/soakWorld";
import type { CallerAttempt } from "../records/callerAttempt";

const PAUSE_SPREAD_MS = 60;

/** Pause after a failed connection, before the next host is tried. */
const FAILED_PAUSE_MS = 50;

/** Share of the requests that callers cancel, and the maximum delay before they do. */
const CANCELLED_SHARE = 0.05;
const MAXIMUM_CANCEL_DELAY_MS = 80;

/** Consecutive requests that go to the same host over the same connections. */
const REQUESTS_PER_HOST = 20;

const REQUEST_ID_LENGTH = 16;

/** Number of the last whole event that the caller has received; 0 if there is none. */
const lastEventIdOf = ({ body }: CallerAttempt): number =>
    Math.max(0, ...[...body.matchAll(/id: (\d+)\n[^\n]*\n\n/g)].map(([, id]) => Number(id)));

/** Sends requests one at a time until the signal aborts; changes the host after a failure or a number of requests. */
export const runCaller = async (
    world: SoakWorld,
    name: string,
    random: RandomSource,
    signal: AbortSignal,
): Promise<void> => {
    let hostIndex = random.nextInt(world.hosts.length);
    for (let sent = 0; !signal.aborted; sent++) {
        const route = world.routes[random.nextInt(world.routes.length)];
        if (route === undefined) {
            return;
        }
        const cancelAfterMs = random.nextFloat() < CANCELLED_SHARE
            ? random.nextInt(MAXIMUM_CANCEL_DELAY_MS)
            : undefined;
        const requestId = random.nextHex(REQUEST_ID_LENGTH);
        const attempt = await world.send(name, hostIndex, route, requestId, cancelAfterMs, undefined);
        world.records.attempts.push(attempt);
        const lastEventId = lastEventIdOf(attempt);
        if (route.kind === "resumable-stream" && !attempt.isComplete && lastEventId > 0) {
            const other = random.nextInt(world.hosts.length);
            const takenUp = { requestId, lastEventId };
            world.records.attempts.push(
                await world.send(name, other, route, random.nextHex(REQUEST_ID_LENGTH), undefined, takenUp),
            );
        }
        const hasFailed = attempt.status === undefined && !attempt.hasLeft;
        if (hasFailed || sent % REQUESTS_PER_HOST === 0) {
            hostIndex = random.nextInt(world.hosts.length);
        }
        const pauseMs = hasFailed ? FAILED_PAUSE_MS : random.nextInt(PAUSE_SPREAD_MS);
        await sleep(pauseMs);
    }
};
