import { Command, Option } from "clipanion";
import { createKeyValueStandIn } from "../keyValue/createKeyValueStandIn";
import { runUntilSignal } from "./runUntilSignal";

/** Command that runs the key-value service stand-in. */
export class KeyValueCommand extends Command {
    static override paths = [["key-value"]];

    port = Option.String("--port", "0");

    async execute(): Promise<number> {
        return runUntilSignal("key-value", await createKeyValueStandIn(Number(this.port)));
    }
}
