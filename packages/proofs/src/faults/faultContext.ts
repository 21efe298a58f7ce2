import type { DriverContext } from "../drivers/driverContext";

/** What faults work on. */
export interface FaultContext extends DriverContext {
    /** Length of an outage of the key-value service. */
    readonly outageMs: number;
    /** Reads JSON from a stand-in. */
    readonly getJson: <T>(url: string) => Promise<T>;
    /** Sends a JSON body to a stand-in. */
    readonly sendJson: (url: string, body: unknown, method?: "POST" | "PUT") => Promise<void>;
}
