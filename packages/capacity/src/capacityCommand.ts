import { Command, Option } from "clipanion";
import { mkdirSync, writeFileSync } from "node:fs";
import { totalmem } from "node:os";
import { fitLine } from "./fitLine";
import type { Measurement } from "./measurement";
import { measureSize } from "./measureSize";

const MS_PER_SECOND = 1_000;
const TARGET_ENTRY_HOSTS = 340;

/** Estimated memory of one process; sizes that would need more than half of the machine's memory are refused. */
const ESTIMATED_PROCESS_BYTES = 130_000_000;

const quantities: Readonly<Record<string, (measurement: Measurement) => number>> = {
    "CPU, % of a core": ({ cpuPercent }) => cpuPercent,
    "memory, MB": ({ residentMegabytes }) => residentMegabytes,
    "gossip, bytes/s": ({ gossipBytesPerSecond }) => gossipBytesPerSecond,
    "gossip, messages/s": ({ gossipMessagesPerSecond }) => gossipMessagesPerSecond,
    "key-value calls/s, whole system": ({ keyValueCallsPerSecond }) =>
        Object.values(keyValueCallsPerSecond).reduce((sum, rate) => sum + rate, 0),
    "slowest change in force, ms": ({ inForceMs }) => Math.max(...inForceMs),
};

const format = (value: number): string => value.toFixed(Math.abs(value) < 10 ? 2 : 0);

/** Measures systems of increasing size, fits a line to each quantity and extrapolates it to the target size. */
export class CapacityCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Measure how the cost of the control plane grows with the number of hosts.",
    });

    sizes = Option.String("--sizes", "8,16,32,64");
    warmUp = Option.String("--warm-up", "10", { description: "Warm-up before each measurement, in seconds." });
    duration = Option.String("--duration", "20", { description: "Duration of each measurement, in seconds." });

    async execute(): Promise<number> {
        const sizes = this.sizes.split(",").map(Number);
        const { stdout, stderr } = this.context;
        if (sizes.some(size => size * ESTIMATED_PROCESS_BYTES > totalmem() / 2)) {
            stderr.write("a size would need more than half of the machine's memory\n");
            return 2;
        }
        const measurements = await sizes.reduce<Promise<readonly Measurement[]>>(async (earlier, size) => {
            const done = await earlier;
            stdout.write(`measuring ${size} entry hosts ...\n`);
            const measurement = await measureSize(
                size,
                Number(this.warmUp) * MS_PER_SECOND,
                Number(this.duration) * MS_PER_SECOND,
            );
            stdout.write(`${JSON.stringify(measurement)}\n`);
            return [...done, measurement];
        }, Promise.resolve([]));
        stdout.write(
            `| quantity | ${sizes.join(" | ")} | slope per host | greatest residual | at ${TARGET_ENTRY_HOSTS} |\n`,
        );
        stdout.write(`| --- | ${sizes.map(() => "---: |").join(" ")} ---: | ---: | ---: |\n`);
        Object.entries(quantities).forEach(([name, read]) => {
            const values = measurements.map(read);
            const { intercept, slope, greatestResidual } = fitLine(
                sizes.map((size, index) => [size, values[index] ?? 0]),
            );
            const extrapolated = intercept + slope * TARGET_ENTRY_HOSTS;
            const cells = [...values.map(format), slope.toFixed(4), format(greatestResidual), format(extrapolated)];
            stdout.write(`| ${name} | ${cells.join(" | ")} |\n`);
        });
        mkdirSync("reports", { recursive: true });
        writeFileSync("reports/capacity.json", JSON.stringify(measurements, undefined, 2));
        return 0;
    }
}
