import type Link from '../link/Link';

/** An entry's state for one sidecar process, from its first link to its end. */
export default class SidecarPeer {
  /** The open link; undefined between two links. */
  link: Link | undefined;

  /** True while nothing has been received from the sidecar for the suspicion time. */
  suspected = false;

  /** True once the sidecar has announced that it accepts no further starts. */
  leaving = false;

  /** True once the sidecar has sent a goodbye, after which it sends nothing more. */
  saidGoodbye = false;

  /** The newest configuration version that it has reported as in effect. */
  configurationVersion = 0n;

  /** The services of its backend servers. */
  services: readonly string[] = [];

  /** Address of its operators' listener; empty when it has sent none. */
  operatorsAddress = '';

  private constructor(
    readonly incarnation: string,
    readonly instance: string,
    readonly zone: string,
  ) {}

  /** Creates the peer for the sidecar that opened a link. */
  static fromLink(link: Link): SidecarPeer {
    const { incarnation, instance, zone, services, operators } = link.peer;
    const peer = new SidecarPeer(incarnation, instance, zone);
    peer.services = services;
    peer.operatorsAddress = operators;
    return peer;
  }
}
