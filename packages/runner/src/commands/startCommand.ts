import { Command, Option } from "clipanion";
import { renameSync, writeFileSync } from "node:fs";
import { deployments } from "../deployments/deployments";
import type { ExampleResult } from "../requests/exampleResult";
import { sendExampleRequests } from "../requests/sendExampleRequests";
import { applyResources } from "../system/applyResources";
import { describeSystem } from "../system/describeSystem";
import { startSystem } from "../system/startSystem";
import { formatNextSteps } from "./formatNextSteps";

const DIST_DIRECTORY = "dist";

const formatResult = ({ title, correct, detail, durationMs }: ExampleResult): string =>
    `${correct ? "ok  " : "FAIL"} ${title} (${durationMs} ms)\n       ${detail}\n`;

const waitForSignal = (): Promise<string> =>
    new Promise(resolve => ["SIGTERM", "SIGINT"].forEach(signal => process.once(signal, resolve)));

/** Command that starts a small complete system on loopback and sends example requests. */
export class StartCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({ description: "Start a small complete system on loopback." });

    once = Option.Boolean("--once", false, { description: "Exit after the example requests." });
    readyFile = Option.String("--ready-file", {
        description: "Write a JSON description of the system when it is ready.",
    });
    deployment = Option.String("--deployment", "cimenbilim", { description: "cimenbilim or federation." });
    entries = Option.String("--entries", "3");
    controls = Option.String("--controls", "2");
    enginesPerZone = Option.String("--engines-per-zone", "2");

    async execute(): Promise<number> {
        const deployment = deployments[this.deployment as keyof typeof deployments];
        if (deployment === undefined) {
            this.context.stderr.write(`unknown deployment ${this.deployment}\n`);
            return 2;
        }
        const signalled = waitForSignal();
        this.context.stdout.write(`Starting the ${deployment.name} example on loopback ...\n`);
        await using system = await startSystem({
            deployment,
            entries: Number(this.entries),
            controls: Number(this.controls),
            enginesPerZone: Number(this.enginesPerZone),
            distDirectory: DIST_DIRECTORY,
            engineArgs: [],
            serviceArgs: [],
        });
        const applied = await applyResources(system, DIST_DIRECTORY);
        const results = applied === 0 ? await sendExampleRequests(system) : [];
        results.forEach(result => this.context.stdout.write(formatResult(result)));
        const correct = applied === 0 && results.every(result => result.correct);
        if (this.readyFile !== undefined) {
            // Written to a temporary file and renamed, so that readers never see a partial file.
            writeFileSync(`${this.readyFile}.part`, JSON.stringify(describeSystem(system), undefined, 2));
            renameSync(`${this.readyFile}.part`, this.readyFile);
        }
        if (!this.once) {
            this.context.stdout.write(formatNextSteps(system));
            await signalled;
            this.context.stdout.write("Stopping ...\n");
        }
        const failed = await system.stop();
        failed.forEach(name => this.context.stderr.write(`${name} did not stop cleanly\n`));
        return correct && failed.length === 0 ? 0 : 1;
    }
}
