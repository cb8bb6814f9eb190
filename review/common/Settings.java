import java.util.Locale;

/**
 * The configuration of a small deployment, with the figures that the operators' brief gives: three sets of readers
 * that hold three district shards each, two classes, three tenants, two coordinators.
 */
final class Settings {

    static final int SETS = 3;
    static final int SHARDS = 9;
    static final String[] TENANTS = {"varosi-taxi", "duna-cab", "pest-fuvar"};

    private Settings() { }

    /** discovery: its port; 0: none is named. */
    static String configuration(String name, int port, int discovery, int position, int memoryMb) {
        String text = """
                {
                 "name": "%s",
                 "listen": "127.0.0.1:%d",%s
                 "seed": "%016x",
                 "limits": {
                  "cores": 1.0,
                  "memory_mb": %d,
                  "sockets": 1024
                 },
                 "settings": {
                  "position": %d, "instances": 2, "zone": 0, "zones": ["angyalfold-room"],
                  "discovery": "automatic",
                  "classes": [
                   {"name": "shift-report", "target": 3000000, "deadline": 6000000, "effect": "retryable",
                    "group": "all", "points": 5.0, "lateWorth": 0.0, "memorySpan": 5000000, "stream": false},
                   {"name": "car-lookup", "target": 2000000, "deadline": 5000000, "effect": "retryable",
                    "group": "all", "points": 1.0, "lateWorth": 0.1, "memorySpan": 5000000, "stream": false}
                  ],
                  "clientHabits": {"marksRetry": false},
                  "countedBy": "request", "family": "fanout", "models": ["small-2c"], "overShareWorth": 0.1,
                  "tenants": [
                   {"name": "varosi-taxi", "allowancePerS": 14.0, "share": 0.49},
                   {"name": "duna-cab", "allowancePerS": 8.0, "share": 0.28},
                   {"name": "pest-fuvar", "allowancePerS": 7.0, "share": 0.23}
                  ],
                  "familyInfo": {"sets": 3, "reach": 1, "slices": 9, "batch": 1, "perCallWork": 0,
                   "followUp": [0, 0], "classFloor": [1.0, 1.0], "completeFrom": [1.0, 1.0],
                   "shortWorth": [0.9, 0.9], "warmKeys": false},
                  "feedback": {"source": "probe", "columns": ["rps", "active"]},
                  "allowed": {"mostTries": 3, "maxOpen": 212, "secondCopies": false, "mayCancel": true,
                   "peers": false, "probing": true, "retryAfter": true, "maxRetryAfter": 2000000,
                   "multiplex": 32, "connectTimeout": 250000, "connIdle": 30000000,
                   "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000},
                  "rules": {"stopSendingWithin": 1000000, "coldFrom": 0.27, "cold": 17000000, "tipMultiple": 2.5,
                   "fall": 1000000, "answerSlack": 20000, "askEvery": 10000000},
                  "charges": {"probe": 0.01, "waste": 0.16, "lateFail": 0.03, "crossZone": 0.0, "handshake": 0.0},
                  "round": 5000, "tier": 0, "tiers": ["query-readers"], "weightSource": "none"
                 }
                }
                """;
        return String.format(Locale.ROOT, text, name, port,
                discovery == 0 ? "" : " \"discovery\": \"127.0.0.1:" + discovery + "\",",
                name.hashCode() * 0x9E3779B97F4A7C15L, memoryMb, position);
    }
}
