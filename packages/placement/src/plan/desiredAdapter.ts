/** An adapter that every engine of a service should have loaded. */
export interface DesiredAdapter {
    readonly adapter: string;
    readonly model: string;
    readonly artifact: string;
}
