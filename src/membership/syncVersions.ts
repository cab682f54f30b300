import type Versioned from '../core/Versioned';
import type { Configuration, Heartbeat, View } from '../gen/magnoliakeel/v1/peer_pb';
import type PeerMessage from '../link/PeerMessage';

/** The versions that this process knows, and how it sends to the peer. */
interface SyncContext {
  readonly views: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
  readonly send: (message: PeerMessage) => void;
  /** This process's next heartbeat. */
  readonly heartbeat: () => PeerMessage;
}

/**
 * Handles the versions in a peer's heartbeat: sends the peer the view and the
 * configuration if its own are older. If the peer's are newer, it sends a heartbeat,
 * to which the peer replies with the newer ones in the same way.
 */
export default function syncVersions(
  { views, configurations, send, heartbeat }: SyncContext,
  { viewNumber, configurationVersion }: Heartbeat,
): void {
  if (viewNumber < views.number) send({ case: 'view', value: views.current });
  if (configurationVersion < configurations.number) {
    send({ case: 'configuration', value: configurations.current });
  }
  const isBehind = viewNumber > views.number || configurationVersion > configurations.number;
  if (isBehind) send(heartbeat());
}
