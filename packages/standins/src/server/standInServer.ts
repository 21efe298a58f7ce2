/** A running stand-in server; disposing it closes all connections. */
export interface StandInServer extends AsyncDisposable {
    readonly url: string;
    readonly port: number;
}
