package burlford.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModel;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import java.io.IOException;
import java.lang.reflect.Method;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Converts MicroRaft's messages and log records to and from JSON. Each model type has a builder whose setters mirror
 * its getters, so all types are converted by reflection over the setters. Operations are strings.
 */
final class RaftCodec {

    private static final List<Class<? extends RaftModel>> TYPES = List.of(AppendEntriesRequest.class,
            AppendEntriesSuccessResponse.class, AppendEntriesFailureResponse.class, PreVoteRequest.class,
            PreVoteResponse.class, VoteRequest.class, VoteResponse.class, TriggerLeaderElectionRequest.class,
            InstallSnapshotRequest.class, InstallSnapshotResponse.class, LogEntry.class, SnapshotChunk.class,
            RaftGroupMembersView.class, RaftTermPersistentState.class, RaftEndpointPersistentState.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final DefaultRaftModelFactory FACTORY = new DefaultRaftModelFactory();

    private RaftCodec() { }

    static byte[] encode(RaftModel model) throws IOException {
        return JSON.writeValueAsBytes(toJson(model));
    }

    /** Throws IOException for bytes that are not a valid model, whoever sent them. */
    static RaftModel decode(byte[] bytes) throws IOException {
        try {
            return fromJson(JSON.readTree(bytes));
        } catch (RuntimeException e) {
            throw new IOException("not a message of the store: " + e, e);
        }
    }

    private static Class<? extends RaftModel> modelType(RaftModel model) {
        return TYPES.stream().filter(t -> t.isInstance(model)).findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no JSON form for " + model));
    }

    private static Object newBuilder(Class<?> type) throws ReflectiveOperationException {
        return FACTORY.getClass().getMethod("create" + type.getSimpleName() + "Builder").invoke(FACTORY);
    }

    private static List<Method> setters(Class<?> type) throws ReflectiveOperationException {
        List<Method> setters = new ArrayList<>();
        for (Method m : Class.forName(type.getName() + "$" + type.getSimpleName() + "Builder").getMethods()) {
            if (m.getName().startsWith("set") && !m.isBridge()) {
                setters.add(m);
            }
        }
        return setters;
    }

    private static JsonNode toJson(Object value) {
        if (value instanceof RaftModel model) {
            Class<? extends RaftModel> type = modelType(model);
            ObjectNode node = JSON.createObjectNode().put("type", type.getSimpleName());
            try {
                for (Method setter : setters(type)) {
                    String name = setter.getName().substring(3);
                    String prefix = setter.getParameterTypes()[0] == boolean.class ? "is" : "get";
                    node.set(name, toJson(type.getMethod(prefix + name).invoke(model)));
                }
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("the library's " + type + " has changed", e);
            }
            return node;
        }
        if (value instanceof Collection<?> all) {
            ArrayNode list = JSON.createArrayNode();
            all.forEach(v -> list.add(toJson(v)));
            return list;
        }
        return value == null ? JsonNodeFactory.instance.nullNode()
                : JSON.valueToTree(value instanceof RaftEndpoint e ? e.getId() : value);
    }

    private static RaftModel fromJson(JsonNode node) {
        Class<? extends RaftModel> type = TYPES.stream()
                .filter(t -> t.getSimpleName().equals(node.path("type").asText())).findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown type " + node.path("type")));
        try {
            Object builder = newBuilder(type);
            for (Method setter : setters(type)) {
                String name = setter.getName().substring(3);
                setter.setAccessible(true);
                setter.invoke(builder, toArgument(node.get(name), name, setter.getParameterTypes()[0]));
            }
            Method build = Class.forName(type.getName() + "$" + type.getSimpleName() + "Builder").getMethod("build");
            return (RaftModel) build.invoke(builder);
        } catch (ReflectiveOperationException e) {
            throw new IllegalArgumentException("not a " + type.getSimpleName() + ": " + e.getCause(), e);
        }
    }

    private static Object toArgument(JsonNode node, String name, Class<?> type) {
        if (type == int.class) {
            return node.intValue();
        }
        if (type == long.class) {
            return node.longValue();
        }
        if (type == boolean.class) {
            return node.booleanValue();
        }
        if (node == null || node.isNull()) {
            return null;
        }
        if (type == RaftEndpoint.class) {
            return new Member(node.textValue());
        }
        if (Collection.class.isAssignableFrom(type)) {
            List<Object> all = new ArrayList<>();
            node.forEach(n -> all.add(name.equals("LogEntries") ? fromJson(n) : new Member(n.textValue())));
            return all;
        }
        return node.isObject() ? fromJson(node) : node.textValue();
    }
}
