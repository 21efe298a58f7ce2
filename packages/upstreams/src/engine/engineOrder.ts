/** Order to an engine to load or unload models and adapters, change its role or drain. */
export interface EngineOrder {
    readonly type: "load-model" | "load-adapter" | "unload-adapter" | "set-role" | "drain";
    readonly model?: string;
    readonly version?: string;
    readonly artifact?: string;
    readonly adapter?: string;
    readonly role?: string;
    /** Generation of the desired state; an engine ignores an order of an older generation. */
    readonly generation: number;
    readonly fencingNumber: number;
}
