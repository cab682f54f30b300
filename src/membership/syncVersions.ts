import type Versioned from '../core/Versioned';
import type { Configuration, Heartbeat, View } from '../gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from '../link/PeerMessage';

/** What a process knows of the versions, and its way to a peer. */
interface Side {
  readonly views: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
  readonly send: (message: PeerMessage) => void;
  /** This process's next heartbeat. */
  readonly heartbeat: () => PeerMessage;
}

/**
 * Evens out what two linked processes know, after a heartbeat of the other
 * one: it is sent what it lacks. What this one lacks it asks for by a heartbeat
 * of its own, which the other answers in the same way.
 */
export default function syncVersions(
  { views, configurations, send, heartbeat }: Side,
  { viewNumber, configurationVersion }: Heartbeat,
): void {
  if (viewNumber < views.number) send({ case: 'view', value: views.current });
  if (configurationVersion < configurations.number) {
    send({ case: 'configuration', value: configurations.current });
  }
  const isBehind = viewNumber > views.number || configurationVersion > configurations.number;
  if (isBehind) send(heartbeat());
}
