import { createClockDriftMeter, type FencingNumber } from "@ibislanding/core";
import { createLeaseHolder } from "@ibislanding/placement";
import type { DutyHolder } from "./dutyHolder";
import type { DutyHolderOptions } from "./dutyHolderOptions";

type Duty = DutyHolderOptions["duties"][number];

const STEP_INTERVAL_MS = 300;

/** Drift of the clocks between two looks beyond which the process was suspended or its wall clock jumped. */
const SUSPENSION_MS = 400;

/** A former holder contends again after this many lease durations, so that holders don't act in turns. */
const REST_DURATIONS = 2;

/** Creates the holder and starts to contend. */
export const createDutyHolder = (options: DutyHolderOptions): DutyHolder => {
    const { clock, leaseMs } = options;
    const stop = new AbortController();
    const inProgress = new Map<Duty, Promise<void>>();
    let lostAtMs = -Infinity;
    let refused = -Infinity;
    let distrustedVersion: number | undefined;
    const drift = createClockDriftMeter(clock);

    const lease = createLeaseHolder({
        store: options.store,
        clock,
        random: options.random,
        key: options.key,
        holder: options.hostId,
        durationMs: leaseMs,
        longestPauseMs: 0,
        rank: () => options.mayContend() && clock.monotonicMs() - lostAtMs >= leaseMs * REST_DURATIONS ? 0 : undefined,
        onChange: held => {
            lostAtMs = held ? lostAtMs : clock.monotonicMs();
            options.onChange(held, lease.grant()?.fencingNumber);
        },
    });

    /** After a suspension the lease is trusted again only once it was renewed. */
    const checkClocks = (): void => {
        if (Math.abs(drift()) > SUSPENSION_MS) {
            distrustedVersion = lease.grant()?.version;
        }
    };

    const fencingNumber = (): FencingNumber | undefined => {
        checkClocks();
        const grant = lease.grant();
        const mayAct = grant !== undefined && grant.fencingNumber > refused && grant.version !== distrustedVersion;
        return mayAct && !stop.signal.aborted ? grant.fencingNumber : undefined;
    };

    const start = async (duty: Duty): Promise<void> => {
        try {
            await duty(fencingNumber);
        }
        catch (error) {
            options.onError(error);
        }
        finally {
            inProgress.delete(duty);
        }
    };

    const step = async (): Promise<void> => {
        try {
            await lease.step();
        }
        catch (error) {
            options.onError(error);
        }
        if (fencingNumber() !== undefined) {
            options.duties.filter(duty => !inProgress.has(duty)).forEach(duty => inProgress.set(duty, start(duty)));
        }
    };

    const run = async (): Promise<void> => {
        while (!stop.signal.aborted) {
            await step();
            await clock.sleep(STEP_INTERVAL_MS * (0.8 + options.random.nextFloat() * 0.4), stop.signal);
        }
    };
    const running = run();

    return {
        fencingNumber,
        noteRefused: fence => {
            refused = Math.max(refused, fence);
        },
        [Symbol.asyncDispose]: async () => {
            stop.abort();
            await running;
            await Promise.all(inProgress.values());
            await lease[Symbol.asyncDispose]();
        },
    };
};
