import type Checker from './Checker';
import type Fault from './Fault';
import type SoakDeployment from './SoakDeployment';

type Action = (
  deployment: SoakDeployment,
  fault: Fault,
  checker: Checker,
) => (() => void) | undefined;

/** Applies a fault; the function returned ends it, unless it ends by itself. */
export default function applyFault(
  deployment: SoakDeployment,
  fault: Fault,
  checker: Checker,
): () => void {
  deployment.logLine(`fault: ${JSON.stringify(fault)}`);
  const end = actions[fault.kind](deployment, fault, checker);
  return () => {
    deployment.logLine(`fault ends: ${fault.kind} ${fault.target}`);
    end?.();
  };
}

/** Applies a fault of each kind. */
const actions: Readonly<Record<Fault['kind'], Action>> = {
  silence: (deployment, fault) => {
    const { sides, alsoNew, endsByReset } = fault;
    const rule = { sides, alsoNew, from: diallerIp(deployment, fault) };
    const proxy = deployment.peerProxies.get(fault.target)!;
    proxy.freeze(rule);
    return () => (endsByReset ? proxy.reset(rule) : proxy.thaw(rule));
  },
  cut: (deployment, fault) => {
    const rule = { from: diallerIp(deployment, fault) };
    const proxy = deployment.peerProxies.get(fault.target)!;
    proxy.block(rule);
    return () => proxy.unblock(rule);
  },
  reset: (deployment, fault) => {
    const rule = { from: diallerIp(deployment, fault) };
    const proxy = deployment.peerProxies.get(fault.target)!;
    proxy.freeze(rule);
    proxy.reset(rule);
    return undefined;
  },
  delay: (deployment, { target, ms = 0 }) => {
    const proxy = deployment.peerProxies.get(target)!;
    proxy.delayMs += ms;
    return () => {
      proxy.delayMs -= ms;
    };
  },
  pause: (deployment, { target }, checker) => {
    checker.processDisturbed(target, 'hard');
    deployment.processes.signal(target, 'SIGSTOP');
    return () => {
      deployment.processes.signal(target, 'SIGCONT');
      checker.processRecovered(target);
    };
  },
  kill: (deployment, { target, forMs }) => {
    deployment.stopProcess(target, 'SIGKILL', forMs);
    return undefined;
  },
  stop: (deployment, { target, forMs }) => {
    deployment.stopProcess(target, 'SIGTERM', forMs);
    return undefined;
  },
  reload: (deployment, { target }) => {
    deployment.processes.signal(target, 'SIGHUP');
    return undefined;
  },
  'hang-up': (deployment, { target }) => {
    const connections = [...deployment.connections].filter(({ entry }) => entry === target);
    connections.forEach((connection) => connection.reset());
    return undefined;
  },
  crash: (deployment, { target, forMs }) => {
    deployment.backends.get(target)!.crash(forMs);
    return undefined;
  },
  restart: (deployment, { target, forMs }) => {
    deployment.backends.get(target)!.restart(forMs);
    return undefined;
  },
  flood: (deployment) => {
    deployment.activeFloods += 1;
    return () => {
      deployment.activeFloods -= 1;
    };
  },
  'store-down': (deployment) => deployment.addStoreFaults({ down: true }),
  'store-slow': (deployment, { ms = 800 }) => deployment.addStoreFaults({ slowMs: ms }),
  'store-loses-answers': (deployment) => deployment.addStoreFaults({ answerLost: true }),
  'store-cut': (deployment, { target }) => {
    const rule = {};
    const proxy = deployment.storeProxies.get(target)!;
    proxy.block(rule);
    return () => proxy.unblock(rule);
  },
};

function diallerIp(deployment: SoakDeployment, { from }: Fault): string | undefined {
  return from === undefined ? undefined : deployment.ipOf(from);
}
