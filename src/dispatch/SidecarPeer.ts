import type Link from '../link/Link';

/** One running sidecar as an entry sees it, from its first link to its end. */
export default class SidecarPeer {
  /** The open link; undefined between two links. */
  link: Link | undefined;

  /** True while nothing has been heard from the sidecar for the suspicion time. */
  suspected = false;

  /** True once the sidecar said that it takes no further starts. */
  leaving = false;

  /** True once the sidecar said goodbye: nothing more comes from it. */
  saidGoodbye = false;

  /** The newest configuration version it reported in force. */
  configurationVersion = 0n;

  /** The services of its backend servers. */
  services: readonly string[] = [];

  /** Address of its operators' listener; empty when it told none. */
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
