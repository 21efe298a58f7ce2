import { Command, Option } from "clipanion";
import { createHostListStandIn } from "../hostList/createHostListStandIn";
import { runUntilSignal } from "./runUntilSignal";

/** Command that runs the host list stand-in. */
export class HostListCommand extends Command {
    static override paths = [["host-list"]];

    port = Option.String("--port", "0");
    lagMs = Option.String("--lag-ms", "1000", {
        description: "Delay before an upstream change becomes visible, in milliseconds.",
    });

    async execute(): Promise<number> {
        return runUntilSignal("host-list", await createHostListStandIn(Number(this.port), Number(this.lagMs)));
    }
}
