/** Addresses of listeners, as text. */

/** A host and a port in the form "host:port". */
export type Address = string;

/** The host and the port of an address. */
export type HostPort = { readonly host: string; readonly port: number };

/** Splits an address into host and port; returns null if it is not a valid address. */
export function splitAddress(address: Address): HostPort | null {
  const at = address.lastIndexOf(':');
  if (at <= 0) return null;
  const port = Number(address.slice(at + 1));
  if (!Number.isInteger(port) || port < 0 || port > 65535) return null;
  return { host: address.slice(0, at), port };
}
