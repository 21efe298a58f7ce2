import { createClockDriftMeter, type FencingNumber } from "@ibislanding/core";
import { createLeaseHolder } from "@ibislanding/placement";
import type { DutyRunner } from "./dutyRunner";
import type { DutyRunnerOptions } from "./dutyRunnerOptions";

type Duty = DutyRunnerOptions["duties"][number];

const STEP_INTERVAL_MS = 300;

/** A larger drift between two checks means that the machine was suspended or that its wall clock jumped. */
const MAXIMUM_CLOCK_DRIFT_MS = 400;

/** Lease durations before a former lease holder contends again; without the delay, hosts could alternate as holder. */
const RECONTEND_DELAY_DURATIONS = 2;

/** Creates the runner and starts contending for the lease. */
export const createDutyRunner = (options: DutyRunnerOptions): DutyRunner => {
    const { clock, leaseMs } = options;
    const stop = new AbortController();
    const inProgress = new Map<Duty, Promise<void>>();
    let lostAtMs = -Infinity;
    let highestRefusedNumber = -Infinity;
    let suspectLeaseVersion: number | undefined;
    const drift = createClockDriftMeter(clock);

    const lease = createLeaseHolder({
        store: options.store,
        storeEpoch: options.storeEpoch,
        clock,
        random: options.random,
        key: options.key,
        holder: options.hostId,
        durationMs: leaseMs,
        longestPauseMs: 0,
        rank: () =>
            options.mayContend() && clock.monotonicMs() - lostAtMs >= leaseMs * RECONTEND_DELAY_DURATIONS
                ? 0
                : undefined,
        onChange: held => {
            lostAtMs = held ? lostAtMs : clock.monotonicMs();
            options.onChange(held, lease.grant()?.fencingNumber);
        },
    });

    /** Marks the lease version as suspect after a suspension or a clock jump; the next renewal changes the version. */
    const checkClockDrift = (): void => {
        if (Math.abs(drift()) > MAXIMUM_CLOCK_DRIFT_MS) {
            suspectLeaseVersion = lease.grant()?.version;
        }
    };

    const fencingNumber = (): FencingNumber | undefined => {
        checkClockDrift();
        const grant = lease.grant();
        const mayAct = grant !== undefined && grant.fencingNumber > highestRefusedNumber
            && grant.version !== suspectLeaseVersion;
        return mayAct && !stop.signal.aborted ? grant.fencingNumber : undefined;
    };

    const runDuty = async (duty: Duty): Promise<void> => {
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
            options.duties.filter(duty => !inProgress.has(duty)).forEach(duty => inProgress.set(duty, runDuty(duty)));
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
        recordRefusal: refusedNumber => {
            highestRefusedNumber = Math.max(highestRefusedNumber, refusedNumber);
        },
        [Symbol.asyncDispose]: async () => {
            stop.abort();
            await running;
            await Promise.all(inProgress.values());
            await lease[Symbol.asyncDispose]();
        },
    };
};
