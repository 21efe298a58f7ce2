import { createHasher, createRandom } from "@ibislanding/core";
import { createHttpClient } from "@ibislanding/platform";
import { applyResources, deployments, startSystem } from "@ibislanding/runner";
import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { checkHistory } from "../checks/checkHistory";
import type { DriverContext } from "../drivers/driverContext";
import { runActionCaller } from "../drivers/runActionCaller";
import { runChatCaller } from "../drivers/runChatCaller";
import { runOperator } from "../drivers/runOperator";
import { runRevisionObserver } from "../drivers/runRevisionObserver";
import { announcedFaults } from "../faults/announcedFaults";
import type { FaultContext } from "../faults/faultContext";
import { faultHandlers } from "../faults/faultHandlers";
import { createHistoryWriter } from "../history/createHistoryWriter";
import { countTotals } from "../report/countTotals";
import { collectEffects } from "./collectEffects";
import type { RunOptions } from "./runOptions";
import type { RunResult } from "./runResult";

const FIRST_FAULT_MS = 1_500;
const PAUSE_BETWEEN_FAULTS_MS = 500;

const injectFaults = async (context: FaultContext, options: RunOptions): Promise<void> => {
    await pause(FIRST_FAULT_MS);
    for (let index = 0; !context.signal.aborted && options.faults.length > 0; index++) {
        // Each kind is injected once in order, then kinds are chosen at random.
        const kind = options.faults[index] ?? options.faults[context.random.nextInt(options.faults.length)];
        if (kind !== undefined) {
            await faultHandlers[kind](context);
        }
        await pause(PAUSE_BETWEEN_FAULTS_MS + context.random.nextInt(PAUSE_BETWEEN_FAULTS_MS));
    }
};

/** Starts a system, runs load drivers while injecting faults, and checks the recorded history. */
export const runProof = async (options: RunOptions): Promise<RunResult> => {
    mkdirSync(options.reportDirectory, { recursive: true });
    const historyFile = join(options.reportDirectory, `history-${options.seed}.ndjson`);
    const hasher = await createHasher();
    const random = createRandom(options.seed);
    const stop = new AbortController();
    await using http = createHttpClient();
    await using history = createHistoryWriter(historyFile);
    await using system = await startSystem({
        deployment: deployments.cimenbilim,
        entries: 3,
        controls: 2,
        enginesPerZone: 2,
        distDirectory: options.distDirectory,
        engineArgs: [],
        serviceArgs: [],
    });
    const applied = await applyResources(system, options.distDirectory);
    if (applied !== 0) {
        throw new Error(`ibisctl apply exited with code ${applied}`);
    }
    const driver = (seed: number): DriverContext => ({
        system,
        history,
        random: createRandom(options.seed * 1_000 + seed),
        signal: stop.signal,
        mustSucceed: options.faults.every(kind => announcedFaults.includes(kind)),
    });
    const names = (prefix: string, count: number): readonly string[] =>
        Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);
    const drivers = [
        ...names("chat", options.chatCallers).map((name, index) => runChatCaller(driver(index), name, hasher)),
        ...names("action", options.actionCallers).map((name, index) => runActionCaller(driver(100 + index), name)),
        ...names("operator", options.operators).map((name, index) => runOperator(driver(200 + index), name)),
        runRevisionObserver(driver(300)),
    ];
    const faults = injectFaults({
        ...driver(400),
        random,
        outageMs: options.outageMs,
        getJson: async <T>(url: string): Promise<T> =>
            JSON.parse((await http.send({ method: "GET", url, timeoutMs: 2_000 })).unwrap().body) as T,
        sendJson: async (url, body, method = "POST") => {
            await http.send({ method, url, body: JSON.stringify(body), timeoutMs: 2_000 });
        },
    }, options);
    await pause(options.durationMs);
    stop.abort();
    await Promise.all([...drivers, faults]);
    await collectEffects(driver(500));
    const uncleanStops = await system.stop();
    const records = history.records();
    return {
        totals: countTotals(records),
        violations: checkHistory(records, { inForceMs: options.inForceMs, leavingMs: options.leavingMs }),
        historyFile,
        uncleanStops,
    };
};
