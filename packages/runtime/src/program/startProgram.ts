import { createSystemClock, createSystemRandom, type HostId } from "@ibislanding/core";
import { createHttpListener } from "../http/createHttpListener";
import { createLogger } from "../logs/createLogger";
import { tolerateLostReaders } from "../logs/tolerateLostReaders";
import { createMetricsRegistry } from "../metrics/createMetricsRegistry";
import type { ProcessSettings } from "../settings/processSettings";
import { createOperationsHandler } from "./createOperationsHandler";
import type { ProgramDefinition } from "./programDefinition";
import type { RunningProgram } from "./runningProgram";

const HOST_ID_LENGTH = 12;

/** Exit code when the program was not drained before the stop deadline. */
const EXIT_STOP_TIMED_OUT = 1;

const waitForSignal = (): Promise<string> =>
    new Promise(resolve => ["SIGTERM", "SIGINT"].forEach(signal => process.on(signal, resolve)));

/** Runs a program with validated settings until SIGTERM or SIGINT, drains it and returns the exit code. */
export const startProgram = async <Settings extends { readonly process: ProcessSettings; }>(
    definition: ProgramDefinition<Settings>,
    settings: Settings,
): Promise<number> => {
    tolerateLostReaders();
    const clock = createSystemClock();
    const random = createSystemRandom();
    const hostId = (settings.process.hostId ?? `${definition.name}-${random.nextHex(HOST_ID_LENGTH)}`) as HostId;
    const logger = createLogger(settings.process.logLevel, { program: definition.name, hostId });
    const metrics = createMetricsRegistry();
    const signalReceived = waitForSignal();
    const current: { program?: RunningProgram; } = {};
    process.on("unhandledRejection", reason => {
        logger.error("unhandled rejection", { reason: reason instanceof Error ? reason.stack : typeof reason });
    });
    metrics.gauge("process_resident_memory_bytes", "Resident memory of the process.", () => process.memoryUsage().rss);
    metrics.gauge("process_cpu_seconds_total", "Processor time used.", () => {
        const { user, system } = process.cpuUsage();
        return (user + system) / 1_000_000;
    });
    await using operations = await createHttpListener(
        settings.process.operations,
        createOperationsHandler(() => current.program, metrics),
    );
    await using program = await definition.start({ settings, hostId, logger, metrics, clock, random });
    current.program = program;
    const urls = { ...program.urls, operations: operations.url };
    process.stdout.write(`${JSON.stringify({ name: definition.name, hostId, pid: process.pid, urls })}\n`);
    logger.info("started", { ...urls, nodeVersion: process.version });
    const signal = await signalReceived;
    logger.info("stopping", { signal, deadlineMs: settings.process.stopDeadlineMs });
    const startMs = clock.monotonicMs();
    await Promise.race([program.drain(settings.process.stopDeadlineMs), clock.sleep(settings.process.stopDeadlineMs)]);
    const durationMs = Math.round(clock.monotonicMs() - startMs);
    logger.info("stopped", { durationMs });
    return durationMs < settings.process.stopDeadlineMs ? 0 : EXIT_STOP_TIMED_OUT;
};
