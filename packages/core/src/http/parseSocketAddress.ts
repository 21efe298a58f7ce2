import { isIPv4 } from "node:net";

const MAXIMUM_PORT = 65_535;

const ADDRESS = /^([\d.]+):(\d{1,5})$/;

/** Parses `ip:port` of IPv4; returns undefined if a socket could not be connected to it. */
export const parseSocketAddress = (text: string): { readonly ip: string; readonly port: number; } | undefined => {
    const [, ip = "", digits = ""] = ADDRESS.exec(text) ?? [];
    const port = Number(digits);
    return isIPv4(ip) && port >= 1 && port <= MAXIMUM_PORT ? { ip, port } : undefined;
};
