import { Command, Option } from "clipanion";
import { createPassThrough } from "../throughput/createPassThrough";

/** `ibis-bench pass-through`: runs the baseline proxy until SIGTERM. */
export class PassThroughCommand extends Command {
    static override paths = [["pass-through"]];

    target = Option.String("--target", { required: true });

    async execute(): Promise<number> {
        await using passThrough = await createPassThrough(this.target);
        const { url } = passThrough;
        this.context.stdout.write(
            `${JSON.stringify({ name: "pass-through", pid: process.pid, urls: { standIn: url } })}\n`,
        );
        await new Promise(resolve => process.once("SIGTERM", resolve));
        return 0;
    }
}
