import { createRandom } from "@ibislanding/core";
import { setTimeout as sleep } from "node:timers/promises";
import { checkRecords } from "../checks/checkRecords";
import { groupBy } from "../checks/groupBy";
import { faultHandlers } from "../faults/faultHandlers";
import type { FaultStep } from "../faults/faultStep";
import { planFaults } from "../faults/planFaults";
import type { SoakWorld } from "../faults/soakWorld";
import type { CallerAttempt } from "../records/callerAttempt";
import { runCaller } from "./runCaller";
import type { SoakOptions } from "./soakOptions";
import type { SoakResult } from "./soakResult";

/** Duration of the load after the last fault: the recovery time, and some more in which recovery is measured. */
const LOAD_AFTER_FAULTS_MS = 15_000;

const START_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 100;

const waitUntilReady = async ({ hosts }: SoakWorld): Promise<void> => {
    const startedAtMs = performance.now();
    while (!(await Promise.all(hosts.map(({ isReady }) => isReady()))).every(Boolean)) {
        if (performance.now() - startedAtMs > START_TIMEOUT_MS) {
            throw new Error("the hosts did not become ready in time");
        }
        await sleep(READY_POLL_MS);
    }
};

const outcomeOf = ({ kind, status, isComplete, hasLeft }: CallerAttempt): string => {
    const end = status === undefined ? "no answer" : isComplete ? String(status) : `${status} cut`;
    return `${kind}: ${hasLeft ? "left" : end}`;
};

/** Starts the hosts, sends load while injecting faults, and checks what callers and upstreams recorded. */
export const runSoak = async (world: SoakWorld, options: SoakOptions): Promise<SoakResult> => {
    const { records, hosts } = world;
    const steps = planFaults(createRandom(options.seed), options.kinds, options.durationMs);
    hosts.forEach(({ process }) => process.start());
    await waitUntilReady(world);
    const stop = new AbortController();
    const callers = Array.from(
        { length: options.callers },
        (_, index) => runCaller(world, `caller-${index}`, createRandom(options.seed * 1_000 + index), stop.signal),
    );
    const startedAtMs = performance.now();

    const inject = async (step: FaultStep): Promise<void> => {
        await sleep(Math.max(0, startedAtMs + step.atMs - performance.now()));
        await faultHandlers[step.kind]({
            world,
            step,
            sleep,
            startDisturbance: hostName => {
                const disturbance = { hostName, kind: step.kind, fromMs: performance.now(), untilMs: Infinity };
                records.disturbances.push(disturbance);
                return () => {
                    disturbance.untilMs = performance.now();
                };
            },
        });
    };

    await Promise.all(steps.map(inject));
    records.calmSinceMs = performance.now();
    await sleep(LOAD_AFTER_FAULTS_MS);
    stop.abort();
    await Promise.all(callers);
    hosts.forEach(({ process }) => process.signal("SIGTERM"));
    const codes = await Promise.all(hosts.map(({ process }) => process.ended()));
    return {
        steps,
        violations: checkRecords(records, world.expectedBody, options.bounds),
        outcomes: new Map([...groupBy(records.attempts, outcomeOf)].map(([outcome, { length }]) => [outcome, length])),
        runs: records.runs.length,
        uncleanStops: hosts.filter((_, index) => codes[index] !== 0).map(({ process }) => process.hostName),
    };
};
