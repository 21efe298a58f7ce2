import { createHttpClient } from "@ibislanding/platform";
import { applyResources, deployments, startProcess, startSystem } from "@ibislanding/runner";
import { Command, Option } from "clipanion";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { LoadTarget } from "../throughput/loadTarget";
import { measureThroughput } from "../throughput/measureThroughput";
import { raiseAccountLimit } from "../throughput/raiseAccountLimit";
import type { ThroughputResult } from "../throughput/throughputResult";

const MS_PER_SECOND = 1_000;
const WARM_UP_MS = 3_000;
const TIMEOUT_MS = 5_000;
const ENGINE_ARGS = ["--iteration-ms", "10", "--concurrent-sequences", "512", "--prefill-tokens-per-second", "1000000"];
const CPU_PATTERN = /^process_cpu_seconds_total (\S+)$/m;

const formatRow = (result: ThroughputResult): string =>
    `| ${result.name} | ${result.streams} | ${result.requests} | ${result.failures} | ${
        result.eventsPerSecond.toFixed(0)
    } `
    + `| ${result.eventsPerCpuSecond.toFixed(0)} | ${result.cpuShare.toFixed(2)} | ${
        result.firstTokenP50Ms.toFixed(1)
    } `
    + `| ${result.firstTokenP99Ms.toFixed(1)} |\n`;

/** `ibis-bench throughput`: compares an entry host with a minimal streaming proxy to one of its engines. */
export class ThroughputCommand extends Command {
    static override paths = [["throughput"]];
    static override usage = Command.Usage({ description: "Compare an entry host with a minimal streaming proxy." });

    streams = Option.String("--streams", "32,128");
    duration = Option.String("--duration", "8", { description: "Duration of each measurement, in seconds." });
    rounds = Option.String("--rounds", "3");

    async execute(): Promise<number> {
        await using http = createHttpClient();
        await using system = await startSystem({
            deployment: deployments.cimenbilim,
            entries: 1,
            controls: 1,
            enginesPerZone: 1,
            distDirectory: "dist",
            engineArgs: ENGINE_ARGS,
            serviceArgs: [],
        });
        if (await applyResources(system, "dist") !== 0) {
            return 1;
        }
        await raiseAccountLimit(http.send, system);
        const { deployment } = system;
        const entry = system.ofProgram("ibis-entry")[0];
        const engine = system.ofProgram("ibis-standin").find(({ name }) => name === "engine-1");
        const baseline = await startProcess(
            {
                name: "pass-through",
                program: "ibis-bench",
                region: "local",
                availabilityZone: "local",
                args: ["pass-through", "--target", engine?.urls["standIn"] ?? ""],
            },
            "dist",
            mkdtempSync(join(tmpdir(), "ibis-bench-")),
        );
        const fetchText = async (url: string): Promise<string> =>
            (await http.send({ method: "GET", url, timeoutMs: TIMEOUT_MS })).unwrap().body;
        const createMessages = (
            count: number,
        ) => [{ role: "user", content: `Question ${count}: how do I feed my lawn?` }];
        const targets: readonly LoadTarget[] = [
            {
                name: "pass-through",
                url: `${baseline.urls["standIn"]}/v1/generate`,
                headers: {},
                createBody: count =>
                    JSON.stringify({
                        requestId: `${performance.now()}-${count}`,
                        model: deployment.model,
                        messages: createMessages(count),
                        priority: 1,
                        deliveredTokens: [],
                        detachedGraceMs: 0,
                        seed: 1,
                    }),
                readCpuSeconds: async () => Number(await fetchText(`${baseline.urls["standIn"]}/cpu`)),
            },
            {
                name: "ibis-entry",
                url: `${entry?.urls["callers"]}/v1/chat/completions`,
                headers: { authorization: `Bearer ${deployment.clientAccounts[0]?.key}` },
                createBody: count =>
                    JSON.stringify({ model: deployment.model, messages: createMessages(count), stream: true }),
                readCpuSeconds: async () =>
                    Number(CPU_PATTERN.exec(await fetchText(`${entry?.urls["operations"]}/metrics`))?.[1]),
            },
        ];
        const plan = Array.from({ length: Number(this.rounds) }).flatMap(() =>
            this.streams.split(",").flatMap(streams => targets.map(target => ({ target, streams: Number(streams) })))
        );
        this.context.stdout.write(
            "| target | streams | requests | failures | events/s | events per CPU second | cores ",
        );
        this.context.stdout.write(
            "| first token p50, ms | p99, ms |\n| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n",
        );
        await Promise.all(targets.map(target => measureThroughput(target, 8, WARM_UP_MS)));
        for (const { target, streams } of plan) {
            const result = await measureThroughput(target, streams, Number(this.duration) * MS_PER_SECOND);
            this.context.stdout.write(formatRow(result));
        }
        baseline.signal("SIGTERM");
        return 0;
    }
}
