#include "sycamoredrum/trace.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <opentracing/propagation.h>
#include <opentracing/span.h>
#include <opentracing/tracer.h>

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace sycamoredrum {
namespace {

constexpr char kTraceParentKey[] = "traceparent";
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;

std::string ToStdString(opentracing::string_view text) { return {text.data(), text.size()}; }

bool IsHex(std::string_view text) { return text.find_first_not_of(kHexDigits) == text.npos; }

bool IsHexId(std::string_view text, std::size_t digits) {
  return text.size() == digits && IsHex(text) && text.find_first_not_of('0') != text.npos;
}

class RecordedContext : public opentracing::SpanContext {
 public:
  RecordedContext(std::string trace_id, std::string span_id, bool sampled)
      : trace_id(std::move(trace_id)), span_id(std::move(span_id)), sampled(sampled) {}

  // Parses a `traceparent` value of version 00: "00-<trace id>-<span id>-<flags>".
  static std::optional<RecordedContext> Parse(std::string_view text) {
    const std::vector<std::string> parts = absl::StrSplit(std::string(text), '-');
    if (parts.size() != 4 || parts[0] != "00" || !IsHexId(parts[1], kTraceIdDigits) ||
        !IsHexId(parts[2], kSpanIdDigits) || parts[3].size() != 2 || !IsHex(parts[3])) {
      return std::nullopt;
    }
    const bool sampled = (kHexDigits.find(parts[3][1]) & 1) != 0;
    return RecordedContext(parts[1], parts[2], sampled);
  }

  std::string TraceParent() const {
    return fmt::format("00-{}-{}-{}", this->trace_id, this->span_id, this->sampled ? "01" : "00");
  }

  void ForeachBaggageItem(
      std::function<bool(const std::string&, const std::string&)>) const override {}
  std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override {
    return std::make_unique<RecordedContext>(*this);
  }
  std::string ToTraceID() const noexcept override { return this->trace_id; }
  std::string ToSpanID() const noexcept override { return this->span_id; }

  std::string trace_id;
  std::string span_id;
  bool sampled;
};

class StringCarrier : public opentracing::TextMapReader, public opentracing::TextMapWriter {
 public:
  explicit StringCarrier(std::string value = "") : value(std::move(value)) {}

  opentracing::expected<void> ForeachKey(
      std::function<opentracing::expected<void>(opentracing::string_view, opentracing::string_view)>
          callback) const override {
    return callback(kTraceParentKey, this->value);
  }
  opentracing::expected<void> Set(opentracing::string_view,
                                  opentracing::string_view text) const override {
    this->value = ToStdString(text);
    return {};
  }

  mutable std::string value;
};

std::string TagText(const opentracing::Value& value) {
  return value.is<std::string>() ? value.get<std::string>() : std::string();
}

}  // namespace

class Tracer::Recorder : public opentracing::Tracer,
                         public std::enable_shared_from_this<Tracer::Recorder> {
 public:
  Recorder(double sample_ratio, RandomSource random, Sink sink)
      : sample_ratio(sample_ratio), random(std::move(random)), sink(std::move(sink)) {}

  std::unique_ptr<opentracing::Span> StartSpanWithOptions(
      opentracing::string_view name,
      const opentracing::StartSpanOptions& options) const noexcept override;

  opentracing::expected<void> Inject(const opentracing::SpanContext&,
                                     std::ostream&) const override {
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
  }
  opentracing::expected<void> Inject(const opentracing::SpanContext& context,
                                     const opentracing::TextMapWriter& writer) const override {
    const auto* recorded = dynamic_cast<const RecordedContext*>(&context);
    if (recorded == nullptr) {
      return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    }
    return writer.Set(kTraceParentKey, recorded->TraceParent());
  }
  opentracing::expected<void> Inject(const opentracing::SpanContext& context,
                                     const opentracing::HTTPHeadersWriter& writer) const override {
    return this->Inject(context, static_cast<const opentracing::TextMapWriter&>(writer));
  }
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      std::istream&) const override {
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
  }
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::TextMapReader& reader) const override {
    std::unique_ptr<opentracing::SpanContext> context;
    const auto result =
        reader.ForeachKey([&](opentracing::string_view key,
                              opentracing::string_view value) -> opentracing::expected<void> {
          if (key == kTraceParentKey) {
            const auto parsed = RecordedContext::Parse({value.data(), value.size()});
            context = parsed ? parsed->Clone() : nullptr;
          }
          return {};
        });
    if (!result) {
      return opentracing::make_unexpected(result.error());
    }
    return context;
  }
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::HTTPHeadersReader& reader) const override {
    return this->Extract(static_cast<const opentracing::TextMapReader&>(reader));
  }

  void Record(const std::string& line) const { this->sink(line); }

 private:
  RecordedContext NewRoot() const {
    // 2^53 values, because a double represents these exactly.
    constexpr double kScale = 1.0 / 9007199254740992.0;
    const bool sampled = static_cast<double>(this->random() >> 11) * kScale < this->sample_ratio;
    return RecordedContext(fmt::format("{:016x}{:016x}", this->random(), this->random() | 1), "",
                           sampled);
  }

  double sample_ratio;
  RandomSource random;
  Sink sink;
};

namespace {

class RecordedSpan : public opentracing::Span {
 public:
  using LineWriter = std::function<void(const std::string&)>;

  RecordedSpan(std::shared_ptr<const opentracing::Tracer> owner, LineWriter write_line,
               RecordedContext context, std::string parent, std::string name)
      : owner(std::move(owner)),
        write_line(std::move(write_line)),
        span_context(std::move(context)),
        parent(std::move(parent)),
        name(std::move(name)),
        started(std::chrono::system_clock::now()),
        started_steady(std::chrono::steady_clock::now()) {}
  RecordedSpan(const RecordedSpan&) = delete;
  RecordedSpan& operator=(const RecordedSpan&) = delete;
  ~RecordedSpan() override { this->Record(std::chrono::steady_clock::now()); }

  void FinishWithOptions(const opentracing::FinishSpanOptions& options) noexcept override {
    this->Record(options.finish_steady_timestamp);
  }
  void SetOperationName(opentracing::string_view text) noexcept override {
    this->name = ToStdString(text);
  }
  void SetTag(opentracing::string_view key, const opentracing::Value& value) noexcept override {
    this->tags[ToStdString(key)] = TagText(value);
  }
  void SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept override {}
  std::string BaggageItem(opentracing::string_view) const noexcept override { return {}; }
  void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept
      override {}
  void Log(opentracing::SystemTime,
           std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept
      override {}
  void Log(opentracing::SystemTime,
           const std::vector<std::pair<opentracing::string_view, opentracing::Value>>&) noexcept
      override {}
  const opentracing::SpanContext& context() const noexcept override { return this->span_context; }
  const opentracing::Tracer& tracer() const noexcept override { return *this->owner; }

 private:
  void Record(std::chrono::steady_clock::time_point finished) {
    if (this->recorded) {
      return;
    }
    this->recorded = true;
    if (!this->span_context.sampled) {
      return;
    }
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    const nlohmann::json line = {
        {"trace", this->span_context.trace_id},
        {"span", this->span_context.span_id},
        {"parent", this->parent},
        {"name", this->name},
        {"start_us", duration_cast<microseconds>(this->started.time_since_epoch()).count()},
        {"duration_us", duration_cast<microseconds>(finished - this->started_steady).count()},
        {"tags", this->tags}};
    this->write_line(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }

  std::shared_ptr<const opentracing::Tracer> owner;
  LineWriter write_line;
  RecordedContext span_context;
  std::string parent;
  std::string name;
  std::chrono::system_clock::time_point started;
  std::chrono::steady_clock::time_point started_steady;
  std::map<std::string, std::string> tags;
  bool recorded = false;
};

}  // namespace

std::unique_ptr<opentracing::Span> Tracer::Recorder::StartSpanWithOptions(
    opentracing::string_view name, const opentracing::StartSpanOptions& options) const noexcept {
  const RecordedContext* parent = nullptr;
  for (const auto& reference : options.references) {
    parent = dynamic_cast<const RecordedContext*>(reference.second);
  }
  RecordedContext context = parent != nullptr ? *parent : this->NewRoot();
  const std::string parent_id = context.span_id;
  context.span_id = fmt::format("{:016x}", this->random() | 1);
  const auto self = this->shared_from_this();
  return std::make_unique<RecordedSpan>(
      self, [self](const std::string& line) { self->Record(line); }, std::move(context), parent_id,
      ToStdString(name));
}

class TraceSpan::Impl {
 public:
  explicit Impl(std::unique_ptr<opentracing::Span> span) : span(std::move(span)) {}
  std::unique_ptr<opentracing::Span> span;
};

TraceSpan::TraceSpan(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
TraceSpan::TraceSpan(TraceSpan&&) noexcept = default;
TraceSpan& TraceSpan::operator=(TraceSpan&&) noexcept = default;
TraceSpan::~TraceSpan() = default;

void TraceSpan::SetTag(std::string_view key, std::string_view value) {
  this->impl->span->SetTag({key.data(), key.size()}, std::string(value));
}

void TraceSpan::Finish() { this->impl->span->Finish(); }

std::string TraceSpan::TraceParent() const {
  const StringCarrier carrier;
  const opentracing::TextMapWriter& writer = carrier;
  const auto injected = this->impl->span->tracer().Inject(this->impl->span->context(), writer);
  return injected ? carrier.value : std::string();
}

std::string TraceSpan::TraceId() const { return this->impl->span->context().ToTraceID(); }

Tracer::Tracer(double sample_ratio, RandomSource random, Sink sink)
    : recorder(std::make_shared<Recorder>(sample_ratio, std::move(random), std::move(sink))) {}

Tracer::~Tracer() = default;

TraceSpan Tracer::StartSpan(std::string_view name, std::string_view trace_parent) const {
  const StringCarrier carrier{std::string(trace_parent)};
  const opentracing::TextMapReader& reader = carrier;
  const auto parent = this->recorder->Extract(reader);
  opentracing::StartSpanOptions options;
  if (parent && *parent != nullptr) {
    options.references.emplace_back(opentracing::SpanReferenceType::ChildOfRef, parent->get());
  }
  auto span = this->recorder->StartSpanWithOptions({name.data(), name.size()}, options);
  return TraceSpan(std::make_unique<TraceSpan::Impl>(std::move(span)));
}

}  // namespace sycamoredrum
