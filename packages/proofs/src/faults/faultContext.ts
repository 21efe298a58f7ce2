import type { DriverContext } from "../drivers/driverContext";

/** Input of a fault handler. */
export interface FaultContext extends DriverContext {
    /** Duration of a key-value service outage. */
    readonly outageMs: number;
    /** Gets and parses a JSON document from a stand-in; throws when the request fails. */
    readonly getJson: <T>(url: string) => Promise<T>;
    /** Sends a JSON body to a stand-in; failures are ignored. */
    readonly sendJson: (url: string, body: unknown, method?: "POST" | "PUT") => Promise<void>;
}
