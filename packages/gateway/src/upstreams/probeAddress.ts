import { connect } from "node:net";
import { Result } from "ts-results";
import type { ProbeResult } from "./probeResult";
import type { UpstreamAddress } from "./upstreamAddress";

/** A connection takes one round trip between regions. */
const TIMEOUT_MS = 500;

/** Opens a connection and closes it again, without sending anything. */
export const probeAddress = ({ ip, port }: UpstreamAddress): Promise<ProbeResult> =>
    new Promise(resolve => {
        const connected = Result.wrap(() => connect({ host: ip, port }));
        if (connected.err) {
            // The address can't be one of a socket.
            resolve("unknown");
            return;
        }
        const socket = connected.val;
        const finish = (result: ProbeResult): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(result);
        };
        const timer = setTimeout(() => finish("unknown"), TIMEOUT_MS);
        socket.once("connect", () => finish("listening"));
        socket.on(
            "error",
            (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED" ? "refused" : "unknown"),
        );
    });
