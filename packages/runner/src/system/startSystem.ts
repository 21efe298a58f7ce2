import { createHash, randomBytes } from "node:crypto";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { ManagedProcess } from "../processes/managedProcess";
import { startProcess } from "../processes/startProcess";
import { cloudArguments } from "./cloudArguments";
import type { RunningSystem } from "./runningSystem";
import { settingsFor } from "./settingsFor";
import type { SystemOptions } from "./systemOptions";
import { waitUntilReady } from "./waitUntilReady";

const STOP_TIMEOUT_MS = 45_000;
const SECRET_BYTES = 32;

/** Waits for all starts to settle before failing, so that all processes that did start are known and stopped. */
const waitForAllStarts = async (starts: readonly Promise<ManagedProcess>[]): Promise<readonly ManagedProcess[]> => {
    const settled = await Promise.allSettled(starts);
    settled.filter(result => result.status === "rejected").forEach(result => {
        throw result.reason;
    });
    return Promise.all(starts);
};

/** Programs in shutdown order. */
const STOP_ORDER = ["ibis-entry", "ibis-admin", "ibis-control", "ibis-standin"];

/** Starts the platform stand-ins, the upstreams and the system on loopback; no resources are applied yet. */
export const startSystem = async (options: SystemOptions): Promise<RunningSystem> => {
    const { deployment, distDirectory } = options;
    const directory = mkdtempSync(join(tmpdir(), "ibislanding-"));
    const operatorToken = randomBytes(SECRET_BYTES).toString("hex");
    const eventIdSecret = randomBytes(SECRET_BYTES).toString("hex");
    const processes: ManagedProcess[] = [];
    const counts: Record<string, number> = {};
    // Kills the remaining child processes when this process exits.
    process.on("exit", () => processes.filter(({ hasExited }) => !hasExited()).forEach(one => one.signal("SIGKILL")));
    const defaultPlace = deployment.zones[0] ?? { region: "local", availabilityZone: "local" };

    const nextName = (prefix: string): string => {
        counts[prefix] = (counts[prefix] ?? 0) + 1;
        return `${prefix}-${counts[prefix]}`;
    };

    const start = async (name: string, program: string, place: typeof defaultPlace, args: readonly string[]) => {
        const started = await startProcess({ name, program, ...place, args }, distDirectory, directory);
        processes.push(started);
        return started;
    };

    const startWithSettings = (name: string, program: string, place: typeof defaultPlace, settings: string) => {
        const file = join(directory, `${name}.toml`);
        writeFileSync(file, settings);
        return start(name, program, place, ["--settings", file]);
    };

    const startPlatform = async () => {
        const [keyValue, hostList, weightStore] = await Promise.all([
            start("key-value", "ibis-standin", defaultPlace, ["key-value"]),
            start("host-list", "ibis-standin", defaultPlace, ["host-list", "--lag-ms", "200"]),
            start("weight-store", "ibis-standin", defaultPlace, ["weight-store"]),
        ]);
        const hostListUrl = hostList.urls["standIn"] ?? "";
        const cloud = await start("cloud", "ibis-standin", defaultPlace, cloudArguments(deployment, hostListUrl));
        return {
            keyValueUrl: keyValue.urls["standIn"] ?? "",
            hostListUrl,
            cloudUrl: cloud.urls["standIn"] ?? "",
            weightStoreUrl: weightStore.urls["standIn"] ?? "",
        };
    };

    const platform = await startPlatform();

    const placeArgs = (name: string, place: typeof defaultPlace, machineClass: string): readonly string[] => [
        "--id",
        name,
        "--region",
        place.region,
        "--availability-zone",
        place.availabilityZone,
        "--host-list-url",
        platform.hostListUrl,
        "--machine-class",
        machineClass,
    ];

    const startEngine = (place: typeof defaultPlace) => {
        const name = nextName("engine");
        return start(name, "ibis-standin", place, [
            "engine",
            ...placeArgs(name, place, deployment.engineMachineClass),
            "--service",
            deployment.engineService,
            "--model",
            deployment.model,
            ...options.engineArgs,
        ]);
    };

    const startService = (place: typeof defaultPlace) => {
        const name = nextName(deployment.plainService);
        const args = [
            "service",
            ...placeArgs(name, place, deployment.plainMachineClass),
            "--service",
            deployment.plainService,
            ...options.serviceArgs,
        ];
        return start(name, "ibis-standin", place, args);
    };

    const startEntry = async (place: typeof defaultPlace) => {
        const settings = settingsFor.entry(place, platform, eventIdSecret);
        return startWithSettings(nextName("entry"), "ibis-entry", place, settings);
    };

    const zoneOf = (index: number): typeof defaultPlace =>
        deployment.zones[index % deployment.zones.length] ?? defaultPlace;

    const stop = async (): Promise<readonly string[]> => {
        const stopOne = async (process: ManagedProcess): Promise<string | undefined> => {
            process.signal("SIGTERM");
            const timer = setTimeout(() => process.signal("SIGKILL"), STOP_TIMEOUT_MS);
            const code = await process.exited;
            clearTimeout(timer);
            return code === 0 ? undefined : process.name;
        };
        const failed: string[] = [];
        for (const program of STOP_ORDER) {
            const live = processes.filter(process => process.program === program && !process.hasExited());
            const names = await Promise.all(live.map(stopOne));
            failed.push(...names.filter(name => name !== undefined));
        }
        return failed;
    };

    try {
        await waitForAllStarts([
            ...deployment.zones.flatMap(zone =>
                Array.from({ length: options.enginesPerZone }, () => startEngine(zone))
            ),
            ...deployment.zones.map(startService),
        ]);
        const tokenSha256 = createHash("sha256").update(operatorToken).digest("hex");
        const system = await waitForAllStarts([
            startWithSettings(
                "admin-1",
                "ibis-admin",
                defaultPlace,
                settingsFor.admin(defaultPlace, platform, tokenSha256),
            ),
            ...Array.from({ length: options.controls }, (_, index) =>
                startWithSettings(
                    nextName("control"),
                    "ibis-control",
                    zoneOf(index),
                    settingsFor.control(zoneOf(index), platform),
                )),
            ...Array.from({ length: options.entries }, (_, index) => startEntry(zoneOf(index))),
        ]);
        await Promise.all(system.map(waitUntilReady));
    }
    catch (error) {
        await stop();
        throw error;
    }

    return {
        deployment,
        processes: () => processes,
        operatorToken,
        ofProgram: program => processes.filter(process => process.program === program && !process.hasExited()),
        addEntry: async () => {
            const entry = await startEntry(zoneOf(counts["entry"] ?? 0));
            await waitUntilReady(entry);
            return entry;
        },
        addEngine: availabilityZone =>
            startEngine(deployment.zones.find(zone => zone.availabilityZone === availabilityZone) ?? defaultPlace),
        stop,
        [Symbol.asyncDispose]: async () => void await stop(),
    };
};
